package slopes_test
import ("testing";"time";"github.com/hatchplank/hatchplank/internal/slopes")
func TestZZ(t *testing.T){
 for _,f:=range []float64{1./64,1./16}{
 m,err:=slopes.Measure(slopes.Target().Scaled(f),1,slopes.Plan{Settle:30*time.Second,Warm:5*time.Second,Window:20*time.Second})
 if err!=nil{t.Fatal(err)}
 for r,c:=range m.Costs{ t.Logf("%v %v %.0f B/s %.1f msg/s %.3f core%%",f,r,c.BytesPerSecond,c.MessagesPerSecond,c.CorePercent)}
 t.Log(m.Served,m.Sent)
 }
}
