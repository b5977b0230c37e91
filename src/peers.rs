//! The connections between controllers.
//!
//! Each controller connects to each of its peers and only writes to that connection; what it reads comes over the
//! connections that it accepts. Messages may be lost: the protocol above repeats what matters.

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

/// Up to this many messages are written at once.
const WRITE_BATCH_SIZE: usize = 64;
/// Messages that wait to be written to a peer; more are dropped.
const OUTGOING_QUEUE_CAPACITY: usize = 256;
/// Connections of peers that are served at once.
const MAX_INCOMING_CONNECTIONS: usize = 32;
/// After a failed accept the next one is tried after this time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Room that is made for each read.
const READ_BYTES: usize = 16 * 1024;
/// A connection on which nothing comes for this long is closed: peers send heartbeats far more often.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// How long connecting to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// After a failed connect the next one is tried after this time.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// A peer that does not take a batch within this time is connected to anew.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Accepts the connections of peers and hands their messages to the controller, until the process ends.
pub async fn accept(listener: TcpListener, queue: mpsc::Sender<Command>) {
    let slots = Arc::new(Semaphore::new(MAX_INCOMING_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let queue = queue.clone();
        spawn_local(async move {
            receive_messages(stream, queue).await;
            drop(slot);
        });
    }
}

/// Reads the messages of one connection until it ends, is idle for too long, or carries something else.
async fn receive_messages(mut stream: TcpStream, queue: mpsc::Sender<Command>) {
    let mut buffer = BytesMut::new();
    loop {
        match decode_frame(&mut buffer) {
            Ok(Some(message)) => {
                if queue.send(Command::PeerMessage(message)).await.is_err() {
                    return;
                }
                continue;
            }
            Ok(None) => {}
            Err(error) => {
                tracing::info!(%error, "malformed message from a peer; closing");
                return;
            }
        }
        // Decoded messages share the memory of the buffer, which leaves little of it for the next read.
        buffer.reserve(READ_BYTES);
        match timeout(READ_TIMEOUT, stream.read_buf(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => {}
            _ => return,
        }
    }
}

/// Keeps a connection to a peer; messages that cannot be sent are dropped. Relayed heartbeats are sent together, at most
/// once a `relay_window`. The connection ends when the returned sender is dropped.
pub fn connect(addr: SocketAddr, relay_window: Duration) -> mpsc::Sender<Envelope> {
    let (sender, messages) = mpsc::channel(OUTGOING_QUEUE_CAPACITY);
    spawn_local(send_messages(addr, relay_window, messages));
    sender
}

/// Connects, again whenever the connection breaks, and writes the messages until nobody can send any more.
async fn send_messages(
    addr: SocketAddr,
    relay_window: Duration,
    mut messages: mpsc::Receiver<Envelope>,
) {
    let mut batch = Vec::new();
    let mut buffer = BytesMut::new();
    loop {
        let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await else {
            sleep(RECONNECT_DELAY).await;
            // By the time of the next connect these would be outdated.
            while messages.try_recv().is_ok() {}
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut relay_at = Instant::now();
        loop {
            if !collect(&mut messages, &mut batch, relay_at).await {
                return;
            }
            relay_at = Instant::now() + relay_window;
            buffer.clear();
            for message in batch.drain(..) {
                encode_frame(&message, &mut buffer);
            }
            let written = timeout(WRITE_TIMEOUT, stream.write_all(&buffer)).await;
            if !matches!(written, Ok(Ok(()))) {
                break;
            }
        }
    }
}

/// Collects the messages that are to be written next: relayed heartbeats wait for others until `relay_at`, unless a
/// message of another kind comes, or a whole batch has come. False: there will be no more messages.
///
/// Each message that is written alone costs a packet and a poll of the socket at both ends, and each answer the same on
/// its way back. The worker does not notice: its next heartbeat is due after a time many times as long, and its lease
/// counts from when it *sent* the heartbeat, so a heartbeat that waits is only ever taken for younger than it is.
async fn collect(
    messages: &mut mpsc::Receiver<Envelope>,
    batch: &mut Vec<Envelope>,
    relay_at: Instant,
) -> bool {
    let may_wait = |message: &Envelope| matches!(message.body, Some(Body::RelayHeartbeat(_)));
    loop {
        match timeout_at(relay_at, messages.recv_many(batch, WRITE_BATCH_SIZE)).await {
            Ok(0) => return false,
            Ok(_) => {}
            // The window is over: whatever comes next is written at once.
            Err(_) if batch.is_empty() => {
                return messages.recv_many(batch, WRITE_BATCH_SIZE).await > 0;
            }
            Err(_) => return true,
        }
        if batch.len() >= WRITE_BATCH_SIZE || !batch.iter().all(may_wait) {
            return true;
        }
    }
}

#[cfg(test)]
mod tests;
