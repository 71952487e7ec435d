package jobs

import "context"

// anonymousQueueKey is the key of the queue in the context of an anonymous call.
type anonymousQueueKey struct{}

// WithAnonymousQueue returns a context for calls of a client that was admitted to a queue without a key.
func WithAnonymousQueue(ctx context.Context, queue string) context.Context {
	return context.WithValue(ctx, anonymousQueueKey{}, queue)
}

// AnonymousQueue returns the queue of an anonymous call, "" for any other call.
func AnonymousQueue(ctx context.Context) string {
	queue, _ := ctx.Value(anonymousQueueKey{}).(string)
	return queue
}
