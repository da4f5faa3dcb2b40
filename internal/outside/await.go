package outside

// Await makes an asynchronous call and blocks until its callback. Code that must not block,
// such as code on an event loop, passes callbacks instead.
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

// AwaitError is Await for calls whose callback takes only an error.
func AwaitError(call func(done func(error))) error {
	_, err := Await(func(done func(struct{}, error)) {
		call(func(err error) { done(struct{}{}, err) })
	})
	return err
}
