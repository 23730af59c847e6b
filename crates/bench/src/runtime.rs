//! Shared by all roles: argument parsing, the async runtime and an HTTP listener.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use warp::Filter;

use crate::role::Error;

/// Worker threads of a role; few, because an experiment runs dozens of stand-ins on one machine.
const WORKER_THREADS: usize = 2;

/// Parses the arguments of a role.
pub(crate) fn parse_args<T: FromArgs>(role: &str, argv: &[&str]) -> Result<T, Error> {
    T::from_args(&[&format!("hornbeamloom-bench {role}")], argv)
        .map_err(|exit| Error::Usage(exit.output))
}

/// Runs an asynchronous role, or a part of one, to completion.
pub(crate) fn block_on<T>(
    future: impl std::future::Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?
        .block_on(future)
}

/// Serves `routes` on `address` after printing the line `listening ADDRESS`.
///
/// Port 0 binds a free port; the parent process learns it from the line.
pub(crate) async fn serve<F>(address: SocketAddr, routes: F) -> Result<ExitCode, Error>
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = tokio::net::TcpListener::bind(address).await?;
    println!("listening {}", listener.local_addr()?);
    warp::serve(routes).incoming(listener).run().await;
    Ok(ExitCode::SUCCESS)
}
