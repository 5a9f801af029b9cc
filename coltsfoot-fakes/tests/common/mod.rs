//! Executor and connection pool for the tests.

use std::future;

use coltsfoot_fakes::SharedExecutor;
use coltsfoot_platform::http;

/// Drives the executor until the future completes.
pub fn run<T>(executor: &SharedExecutor, future: impl future::Future<Output = T>) -> T {
    futures_lite::future::block_on(executor.run(future))
}

pub fn pool() -> http::HttpPool {
    http::HttpPool::new(http::HttpLimits::default())
}
