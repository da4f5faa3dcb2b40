package outside

// Await makes a call and waits for its callback. It is for code that may block;
// decision code passes callbacks on.
func Await[Result any](call func(done func(Result, error))) (Result, error) {
	type reply struct {
		result Result
		err    error
	}
	replies := make(chan reply, 1)
	call(func(result Result, err error) { replies <- reply{result, err} })
	got := <-replies
	return got.result, got.err
}

// AwaitError is Await for calls that bring nothing but an error.
func AwaitError(call func(done func(error))) error {
	_, err := Await(func(done func(struct{}, error)) {
		call(func(err error) { done(struct{}{}, err) })
	})
	return err
}
