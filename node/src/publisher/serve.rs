//! Followers' connections: the whole first, then each frame as it is made. It owns the streams; it must never hold
//! one back for another: who is too slow is let go, and asks for the whole.

use super::Shared;
use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{HttpService, Method, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use futures_util::stream;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Wait before a listener that ran out of descriptors tries again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts followers; never ends.
pub(super) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let service = HttpService::build()
        .client_request_timeout(Duration::from_secs(2))
        .h1(fn_service(move |request: Request| {
            let answer = answer(&shared, &request);
            async move { Ok::<_, Infallible>(answer) }
        }))
        .new_service(())
        .await;
    let Ok(service) = service else { return };
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let handling = service.call((stream, Some(peer)));
                actix_rt::spawn(async move {
                    if let Err(e) = handling.await {
                        log::debug!("follower at {peer}: {e}");
                    }
                });
            }
            Err(e) => {
                log::warn!("accept: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn answer(shared: &Shared, request: &Request) -> Response<BoxBody> {
    if request.path() != "/digest" {
        return Response::new(StatusCode::NOT_FOUND);
    }
    if request.method() != Method::GET {
        return Response::new(StatusCode::METHOD_NOT_ALLOWED);
    }
    // The next frame after the whole is the first that the receiver gets: both are taken in one moment.
    let frames = shared.frames.subscribe();
    let whole = match shared.publisher.borrow().full_frame().to_bytes() {
        Ok(whole) => {
            log::debug!("whole of bytes={}", whole.len());
            whole
        }
        Err(e) => {
            log::error!("the whole could not be worded: {}", e.0);
            return Response::new(StatusCode::INTERNAL_SERVER_ERROR);
        }
    };
    let told = stream::unfold((Some(whole), frames), |(whole, mut frames)| async move {
        let bytes = match whole {
            Some(whole) => whole,
            None => frames.recv().await.ok()?,
        };
        Some((Ok::<_, Infallible>(Bytes::from(bytes)), (None, frames)))
    });
    Response::with_body(StatusCode::OK, BodyStream::new(Box::pin(told)).boxed())
}
