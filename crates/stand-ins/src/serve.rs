//! An HTTP/1.1 server on a thread of its own.

use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::{LocalSet, spawn_local};

pub(crate) type Answer = Response<Full<Bytes>>;

/// Serves on a free loopback port. The service is created on the thread that runs it.
pub(crate) fn serve<S, F>(make: impl FnOnce() -> S + Send + 'static) -> io::Result<SocketAddr>
where
    S: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Answer>,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            let service = Rc::new(make());
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            accept(listener, service).await;
        });
    });
    Ok(address)
}

/// Serves a listener's connections until it fails.
pub(crate) async fn accept<S, F>(listener: tokio::net::TcpListener, service: Rc<S>)
where
    S: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Answer>,
{
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        spawn_local(async move {
            let answer = |request| {
                let service = service.clone();
                async move { Ok::<_, Infallible>(service(request).await) }
            };
            // A broken connection is for its client to handle.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service_fn(answer))
                .await;
        });
    }
}
