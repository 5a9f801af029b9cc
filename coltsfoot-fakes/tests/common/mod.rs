//! Executor and connections shared by the tests.

use std::future;

use coltsfoot_fakes::SharedExecutor;
use coltsfoot_platform::http;

/// Runs a future together with the executor's tasks.
pub fn run<T>(executor: &SharedExecutor, future: impl future::Future<Output = T>) -> T {
    futures_lite::future::block_on(executor.run(future))
}

pub fn pool() -> http::HttpPool {
    http::HttpPool::new(http::HttpLimits::default())
}
