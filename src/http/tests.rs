use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::server::{ReadError, SMALL_BODY_BYTES};
use super::*;

const LARGE_BODY_BYTES: usize = 60_000;

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        panic!("bound to an IPv4 address");
    };
    (listener, addr)
}

/// Serves one connection. Each response holds the method, the path and the body length of its request.
async fn echo_requests(listener: &TcpListener) {
    let (stream, _) = listener.accept().await.unwrap();
    let mut connection = Connection::new(stream, BodyBudget::new(0));
    while let Some(request) = connection.next().await {
        let (method, path, length) = (request.method, &request.path, request.body.len());
        let response = Response::json(200, &format!("{method:?} {path} {length}"));
        let close = request.closes_connection;
        connection.write(&response, close).await.unwrap();
        if close {
            return;
        }
    }
}

/// Sends these bytes over a new connection and returns everything that the server sends back.
async fn response_to(bytes: &[u8]) -> String {
    let (listener, addr) = listen().await;
    let ask = async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        String::from_utf8_lossy(&received).into_owned()
    };
    tokio::join!(echo_requests(&listener), ask).1
}

#[tokio::test]
async fn requests_get_the_expected_status() {
    let two = b"GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz";
    let text = response_to(two).await;
    assert!(
        text.contains("Get /a 0") && text.contains("Post /b 3"),
        "{text}"
    );
    let cases: [(&[u8], &str); 6] = [
        (b"\x00\x01garbage\r\n\r\n", "HTTP/1.1 400"),
        (
            b"POST /b HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
            "HTTP/1.1 400",
        ),
        (
            b"POST /b HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
            "HTTP/1.1 413",
        ),
        (
            b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 411",
        ),
        (
            b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
            "HTTP/1.1 200",
        ),
        (b"POST /b HTTP/1.1\r\nContent-Length: 9\r\n\r\nshort", ""),
    ];
    for (bytes, start) in cases {
        let text = response_to(bytes).await;
        assert!(
            text.starts_with(start) && (!start.is_empty() || text.is_empty()),
            "{text}"
        );
    }
    let long_path = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000));
    let text = response_to(long_path.as_bytes()).await;
    assert!(text.starts_with("HTTP/1.1 431"));
}

/// Returns the head of a POST request, followed by the first `sent` bytes of its body.
fn post(content_length: usize, sent: usize) -> Vec<u8> {
    let mut bytes =
        format!("POST / HTTP/1.1\r\nContent-Length: {content_length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + sent, b'x');
    bytes
}

#[tokio::test]
async fn large_body_over_budget_is_refused_and_small_body_is_not() {
    let (listener, addr) = listen().await;
    let body_budget = BodyBudget::new(100_000);
    let connect = async || {
        let (client, server) = tokio::join!(TcpStream::connect(addr), listener.accept());
        (
            client.unwrap(),
            Connection::new(server.unwrap().0, body_budget.clone()),
        )
    };
    let (mut slow_client, mut first) = connect().await;
    let (mut refused_client, mut second) = connect().await;
    let (mut small_client, mut third) = connect().await;
    // One client sends half of a large body and then pauses.
    let half = post(LARGE_BODY_BYTES, LARGE_BODY_BYTES / 2);
    slow_client.write_all(&half).await.unwrap();
    let waiting = timeout(Duration::from_millis(50), first.read()).await;
    assert!(
        waiting.is_err() && first.body_permit.is_some(),
        "the server must wait for the rest of the body"
    );
    // The next client is told to retry later, before its body has arrived.
    let head = post(LARGE_BODY_BYTES, 0);
    refused_client.write_all(&head).await.unwrap();
    let refusal = second.read().await.unwrap_err();
    assert!(matches!(refusal, ReadError::BudgetExhausted));
    // The rest of the refused body is read and dropped until the client has finished.
    let response = refusal.response().unwrap();
    let (_, text) = tokio::join!(second.refuse(&response), async {
        let mut text = String::new();
        refused_client.shutdown().await.unwrap();
        refused_client.read_to_string(&mut text).await.unwrap();
        text
    });
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("Retry-After: 1"),
        "{text}"
    );
    let small = post(SMALL_BODY_BYTES, SMALL_BODY_BYTES);
    small_client.write_all(&small).await.unwrap();
    assert_eq!(third.read().await.unwrap().body.len(), SMALL_BODY_BYTES);
    // A finished request, answered or not, returns its share of the budget.
    drop(first);
    let (mut client, mut fourth) = connect().await;
    let whole = post(LARGE_BODY_BYTES, LARGE_BODY_BYTES);
    client.write_all(&whole).await.unwrap();
    assert_eq!(fourth.read().await.unwrap().body.len(), LARGE_BODY_BYTES);
    let response = Response::json(200, &"done");
    fourth.write(&response, false).await.unwrap();
    assert!(fourth.body_permit.is_none());
}

#[tokio::test]
async fn disconnect_of_idle_client_reads_as_closed() {
    let (listener, addr) = listen().await;
    let client = TcpStream::connect(addr).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    drop(client);
    let read = Connection::new(stream, BodyBudget::new(0)).read().await;
    assert!(matches!(read, Err(ReadError::Closed)));
}

#[tokio::test]
async fn client_reads_chunked_answer_and_reuses_its_connection() {
    let (listener, addr) = listen().await;
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0u8; 1024];
        for answer in [
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
            "HTTP/1.1 409 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n1\r\ne\r\n0\r\n\r\n",
        ] {
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    };
    let ask = async {
        let client = Client::new(addr);
        let time_limit = Duration::from_secs(5);
        let plain = client.call(Method::Get, "/x", b"", time_limit).await;
        let chunked = client.call(Method::Post, "/y", b"{}", time_limit).await;
        (plain, chunked)
    };
    let (_, (plain, chunked)) = tokio::join!(serve, ask);
    assert_eq!(plain, Ok(Answer::new(200, "ab")));
    assert_eq!(chunked, Ok(Answer::new(409, "cde")));
}

#[tokio::test]
async fn response_wire_format() {
    let (listener, addr) = listen().await;
    let write = async {
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = Connection::new(stream, BodyBudget::new(0));
        let response = Response::error(503, "why").with_retry_after(2);
        connection.write(&response, true).await.unwrap();
    };
    let read = async {
        let mut text = String::new();
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.read_to_string(&mut text).await.unwrap();
        text
    };
    assert_eq!(
        tokio::join!(write, read).1,
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\
            Retry-After: 2\r\nConnection: close\r\n\r\n{\"error\":\"why\"}"
    );
}

#[tokio::test]
async fn request_wire_format() {
    let (listener, addr) = listen().await;
    let expected =
        format!("POST /commands HTTP/1.1\r\nHost: {addr}\r\nContent-Length: 2\r\n\r\n{{}}");
    let receive = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = vec![0; expected.len()];
        stream.read_exact(&mut received).await.unwrap();
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n[]";
        stream.write_all(answer).await.unwrap();
        String::from_utf8(received).unwrap()
    };
    let client = Client::new(addr);
    let call = client.call(Method::Post, "/commands", b"{}", Duration::from_secs(5));
    let (received, answered) = tokio::join!(receive, call);
    assert_eq!(received, expected);
    assert_eq!(answered, Ok(Answer::new(200, "[]")));
}
