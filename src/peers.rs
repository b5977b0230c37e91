//! The connections between controllers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use gannethub_core::controller::Command;
use gannethub_core::wire::peer::{Body, Envelope, decode_frame, encode_frame};

/// Messages written at once.
const BATCH: usize = 64;
const QUEUE: usize = 256;

/// Hands what siblings say to the owner of all state.
pub async fn accept(listener: TcpListener, queue: mpsc::Sender<Command>) {
    let slots = Arc::new(Semaphore::new(32));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let queue = queue.clone();
        spawn_local(async move {
            read(stream, queue).await;
            drop(slot);
        });
    }
}

async fn read(mut stream: TcpStream, queue: mpsc::Sender<Command>) {
    let mut buf = BytesMut::new();
    loop {
        loop {
            match decode_frame(&mut buf) {
                Ok(Some(message)) => {
                    if queue.send(Command::PeerMessage(message)).await.is_err() {
                        return;
                    }
                }
                Ok(None) => break,
                Err(e) => {
                    tracing::info!(error = %e, "garbage from a sibling; closing");
                    return;
                }
            }
        }
        // What messages share of the buffer leaves little of it for the next read.
        buf.reserve(16 * 1024);
        match timeout(Duration::from_secs(60), stream.read_buf(&mut buf)).await {
            Ok(Ok(n)) if n > 0 => {}
            _ => return,
        }
    }
}

/// Keeps a connection to a sibling; what cannot be sent is dropped. Reports that are passed on are sent together, at
/// most once a `window`.
pub fn connect(addr: SocketAddr, window: Duration) -> mpsc::Sender<Envelope> {
    let (sender, mut messages) = mpsc::channel::<Envelope>(QUEUE);
    spawn_local(async move {
        let mut batch = Vec::new();
        let mut out = BytesMut::new();
        loop {
            let connected = timeout(Duration::from_secs(1), TcpStream::connect(addr)).await;
            let Ok(Ok(mut stream)) = connected else {
                sleep(Duration::from_millis(300)).await;
                while messages.try_recv().is_ok() {}
                continue;
            };
            let _ = stream.set_nodelay(true);
            let mut after = Instant::now();
            loop {
                if !collect(&mut messages, &mut batch, after).await {
                    return;
                }
                after = Instant::now() + window;
                out.clear();
                batch.drain(..).for_each(|m| encode_frame(&m, &mut out));
                let sent = timeout(Duration::from_millis(1500), stream.write_all(&out)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    break;
                }
            }
        }
    });
    sender
}

/// Takes what is to be written next: reports that are passed on wait for others until `after`, unless anything comes
/// that is not one, or many have come. False: nobody will say anything any more.
///
/// Each message that is written alone costs a packet and a look at the socket here and there, and each answer the same
/// on its way back. The worker notices nothing: it reports again after a time many times as long, and its lease counts
/// from when it *sent* the report, so a report that waits is only ever taken for younger than it is.
async fn collect(
    messages: &mut mpsc::Receiver<Envelope>,
    batch: &mut Vec<Envelope>,
    after: Instant,
) -> bool {
    loop {
        match timeout_at(after, messages.recv_many(batch, BATCH)).await {
            Ok(0) => return false,
            Ok(_) => {}
            // It is time for what waits; if nothing does, for whatever comes next.
            Err(_) if batch.is_empty() => return messages.recv_many(batch, BATCH).await > 0,
            Err(_) => return true,
        }
        let waits = |m: &Envelope| matches!(m.body, Some(Body::RelayHeartbeat(_)));
        if batch.len() >= BATCH || !batch.iter().all(waits) {
            return true;
        }
    }
}

#[cfg(test)]
mod tests;
