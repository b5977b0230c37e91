//! The connections between controllers.
//!
//! Each controller opens a connection to each of its peers and only writes to that connection. It receives messages
//! only over the connections that it accepts. Messages may be lost: the protocol that uses these connections repeats
//! important messages.

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

/// Maximum number of messages in one write.
const WRITE_BATCH_SIZE: usize = 64;
/// Maximum number of messages that wait to be written to a peer; further messages are dropped.
const OUTGOING_QUEUE_CAPACITY: usize = 256;
/// Maximum number of concurrent connections from peers.
const MAX_INCOMING_CONNECTIONS: usize = 32;
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Buffer space reserved for each read.
const READ_BYTES: usize = 16 * 1024;
/// Time after which a connection without incoming data is closed. Peers send heartbeats far more often.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next connect after a failed one.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Time limit of writing a batch; when it is exceeded, a new connection to the peer is opened.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Accepts the connections of peers and passes their messages to the controller, until the process ends.
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

/// Reads the messages of one connection until the connection ends, is idle for too long, or carries a malformed
/// message.
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
                tracing::info!(%error, "malformed message from a peer; closing the connection");
                return;
            }
        }
        // Decoded messages share the memory of the buffer, so little free space may be left for the next read.
        buffer.reserve(READ_BYTES);
        match timeout(READ_TIMEOUT, stream.read_buf(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => {}
            _ => return,
        }
    }
}

/// Keeps a connection to a peer open and returns the sender of its messages. Messages that cannot be sent are
/// dropped. Relayed heartbeats are sent together, at most once per `relay_window`. The connection ends when the
/// returned sender is dropped.
pub fn connect(addr: SocketAddr, relay_window: Duration) -> mpsc::Sender<Envelope> {
    let (sender, messages) = mpsc::channel(OUTGOING_QUEUE_CAPACITY);
    spawn_local(send_messages(addr, relay_window, messages));
    sender
}

/// Connects to a peer, reconnects whenever the connection breaks, and writes the messages until the sender is dropped.
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
            // The queued messages would be outdated by the time of the next connect.
            while messages.try_recv().is_ok() {}
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut relay_at = Instant::now();
        loop {
            if !collect_batch(&mut messages, &mut batch, relay_at).await {
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

/// Collects the messages for the next write. Relayed heartbeats wait for further ones until `relay_at`, unless a
/// message of another kind arrives or the batch is full. Returns false if there will be no more messages.
///
/// A message that is written alone costs a packet and a poll of the socket at both ends, and so does its answer. The
/// delay does not affect the worker: the interval to its next heartbeat is many times as long, and its lease counts
/// from the time at which the worker *sent* the heartbeat. The controller can therefore only take a delayed heartbeat
/// for more recent than it is.
async fn collect_batch(
    messages: &mut mpsc::Receiver<Envelope>,
    batch: &mut Vec<Envelope>,
    relay_at: Instant,
) -> bool {
    let may_wait = |message: &Envelope| matches!(message.body, Some(Body::RelayHeartbeat(_)));
    loop {
        match timeout_at(relay_at, messages.recv_many(batch, WRITE_BATCH_SIZE)).await {
            Ok(0) => return false,
            Ok(_) => {}
            // The relay window is over: the next message is written at once.
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
