//! Followers' connections: each gets the full digest first, then every new frame. Followers do not delay each
//! other: one that is too slow is disconnected, and requests the full digest again.

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

/// Delay before accepting again after the process ran out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts followers; never returns.
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
            Ok((stream, peer_address)) => {
                let _ = stream.set_nodelay(true);
                let handling = service.call((stream, Some(peer_address)));
                actix_rt::spawn(async move {
                    if let Err(e) = handling.await {
                        log::debug!("follower at {peer_address}: {e}");
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
    // Subscribing and taking the full digest happen without a frame in between, so the first frame received
    // is the next one after the full digest.
    let frames = shared.frames.subscribe();
    let full = match shared.publisher.borrow().full_frame().to_bytes() {
        Ok(full) => {
            log::debug!("whole of bytes={}", full.len());
            full
        }
        Err(e) => {
            log::error!("the full digest could not be encoded: {}", e.0);
            return Response::new(StatusCode::INTERNAL_SERVER_ERROR);
        }
    };
    let chunks = stream::unfold((Some(full), frames), |(full, mut frames)| async move {
        let bytes = match full {
            Some(full) => full,
            None => frames.recv().await.ok()?,
        };
        Some((Ok::<_, Infallible>(Bytes::from(bytes)), (None, frames)))
    });
    Response::with_body(StatusCode::OK, BodyStream::new(Box::pin(chunks)).boxed())
}
