//! Fair queues, admission, adaptive limits and retry budgets as pure data.
