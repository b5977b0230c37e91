//! Bounds the memory and the allocations of a connection. A counting allocator makes the figures equal on every run.

use gannethub::http::{BodyBudget, Connection, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

const CONNECTIONS: usize = 200;

async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(async move {
            let mut connection = Connection::new(stream, BodyBudget::new(0));
            while let Some(request) = connection.next().await {
                let answer = Response {
                    status: 200,
                    body: request.body,
                    retry_after: None,
                };
                if connection.write(&answer, false).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn exchange(stream: &mut TcpStream) {
    let body = [b'x'; 600];
    let head = format!(
        "POST /v1/report HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(&[head.as_bytes(), &body].concat())
        .await
        .expect("written");
    let mut answer = [0; 2048];
    let n = stream.read(&mut answer).await.expect("read");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200 OK") && answer[..n].ends_with(&body));
}

/// Yields until all woken tasks have finished their work.
async fn run_pending_tasks() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn idle_memory_and_allocations_per_exchange_are_bounded() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let measure = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("the listener is bound");
        spawn_local(serve(listener));
        let mut streams = Vec::with_capacity(CONNECTIONS);
        let mut first = TcpStream::connect(addr).await.expect("connected");
        exchange(&mut first).await;
        run_pending_tasks().await;
        let before = dhat::HeapStats::get().curr_bytes;
        for _ in 0..CONNECTIONS {
            let mut stream = TcpStream::connect(addr).await.expect("connected");
            exchange(&mut stream).await;
            streams.push(stream);
        }
        run_pending_tasks().await;
        let bytes_per_connection = (dhat::HeapStats::get().curr_bytes - before) / CONNECTIONS;
        // The bytes include the test's own end of the connection, the runtime's part of both ends, and the task that
        // serves the connection.
        assert!(
            bytes_per_connection < 1_600,
            "an idle connection holds {bytes_per_connection} bytes"
        );
        let before = dhat::HeapStats::get().total_blocks;
        for stream in &mut streams {
            exchange(stream).await;
        }
        let blocks = (dhat::HeapStats::get().total_blocks - before) / CONNECTIONS as u64;
        // Three of the allocations are the test's own: for the head, and for the head and the body together.
        assert!(blocks <= 8, "{blocks} allocations for an exchange");
    };
    LocalSet::new().run_until(measure).await;
}
