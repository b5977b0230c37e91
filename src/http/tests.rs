use super::*;
use tokio::net::TcpListener;

async fn answer_to(bytes: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = async {
        let (stream, _) = listener.accept().await.unwrap();
        let mut c = Connection::new(stream, Bodies::new(0));
        while let Some(r) = c.next().await {
            let text = format!("{:?} {} {}", r.method, r.path, r.body.len());
            c.write(&Response::json(200, &text), r.closes_connection)
                .await
                .unwrap();
            if r.closes_connection {
                return;
            }
        }
    };
    let ask = async {
        let mut s = TcpStream::connect(addr).await.unwrap();
        s.write_all(bytes).await.unwrap();
        s.shutdown().await.unwrap();
        let mut out = Vec::new();
        let _ = s.read_to_end(&mut out).await;
        String::from_utf8_lossy(&out).into_owned()
    };
    tokio::join!(serve, ask).1
}

#[tokio::test]
async fn requests_good_and_bad_get_their_answers() {
    let two = b"GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz";
    let text = answer_to(two).await;
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
        let text = answer_to(bytes).await;
        assert!(
            text.starts_with(start) && (!start.is_empty() || text.is_empty()),
            "{text}"
        );
    }
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000));
    assert!(answer_to(long.as_bytes()).await.starts_with("HTTP/1.1 431"));
}

#[tokio::test]
async fn large_bodies_beyond_the_room_for_them_are_refused_at_once_and_small_ones_never() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let bodies = Bodies::new(100_000);
    let connect = async || {
        let (client, server) = tokio::join!(TcpStream::connect(addr), listener.accept());
        (
            client.unwrap(),
            Connection::new(server.unwrap().0, bodies.clone()),
        )
    };
    let head = |n: usize| format!("POST / HTTP/1.1\r\nContent-Length: {n}\r\n\r\n");
    let ((mut slow, mut first), (mut late, mut second), (mut small, mut third)) =
        (connect().await, connect().await, connect().await);
    // One sends half of a large body and then nothing for a while.
    slow.write_all(&[head(60_000).as_bytes(), &[b'x'; 30_000]].concat())
        .await
        .unwrap();
    let half = timeout(Duration::from_millis(50), first.read()).await;
    assert!(
        half.is_err() && first.held.is_some(),
        "it waits for the rest"
    );
    // The next one is told to come back before its body is there.
    late.write_all(head(60_000).as_bytes()).await.unwrap();
    assert!(matches!(second.read().await, Err(ReadError::Bad(503, _))));
    // The rest of the refused body is read and dropped until the client is through.
    let (_, answer) = tokio::join!(second.refuse(503, "full"), async {
        let mut text = String::new();
        late.shutdown().await.unwrap();
        late.read_to_string(&mut text).await.unwrap();
        text
    });
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After: 1"),
        "{answer}"
    );
    small
        .write_all(&[head(SMALL_BODY).as_bytes(), &[b'x'; SMALL_BODY]].concat())
        .await
        .unwrap();
    assert_eq!(third.read().await.unwrap().body.len(), SMALL_BODY);
    // What is over, answered or not, gives its room back.
    drop(first);
    let (mut again, mut fourth) = connect().await;
    again
        .write_all(&[head(60_000).as_bytes(), &[b'x'; 60_000]].concat())
        .await
        .unwrap();
    assert_eq!(fourth.read().await.unwrap().body.len(), 60_000);
    fourth
        .write(&Response::json(200, &"done"), false)
        .await
        .unwrap();
    assert!(fourth.held.is_none());
}

#[tokio::test]
async fn a_client_that_goes_away_while_idle_is_no_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    drop(client);
    let read = Connection::new(stream, Bodies::new(0)).read().await;
    assert!(matches!(read, Err(ReadError::Closed)));
}

#[tokio::test]
async fn the_client_reads_plain_and_chunked_answers_and_reuses_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        panic!()
    };
    let serve = async {
        let (mut s, _) = listener.accept().await.unwrap();
        let mut sink = [0u8; 1024];
        for answer in [
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
            "HTTP/1.1 409 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n1\r\ne\r\n0\r\n\r\n",
        ] {
            assert!(s.read(&mut sink).await.unwrap() > 0);
            s.write_all(answer.as_bytes()).await.unwrap();
        }
    };
    let ask = async {
        let client = Client::new(addr);
        let patience = Duration::from_secs(5);
        let a = client.call(Method::Get, "/x", b"", patience).await;
        let b = client.call(Method::Post, "/y", b"{}", patience).await;
        (a, b)
    };
    let (_, (a, b)) = tokio::join!(serve, ask);
    assert_eq!(a, Ok(Answer::new(200, "ab")));
    assert_eq!(b, Ok(Answer::new(409, "cde")));
}

#[tokio::test]
async fn answers_and_requests_have_this_form_on_the_wire() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let std::net::SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        panic!("bound to an IPv4 address");
    };
    let answer = async {
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = Connection::new(stream, Bodies::new(0));
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
        tokio::join!(answer, read).1,
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\
            Retry-After: 2\r\nConnection: close\r\n\r\n{\"error\":\"why\"}"
    );
    let pinned =
        format!("POST /commands HTTP/1.1\r\nHost: {addr}\r\nContent-Length: 2\r\n\r\n{{}}");
    let receive = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = vec![0; pinned.len()];
        stream.read_exact(&mut received).await.unwrap();
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n[]";
        stream.write_all(answer).await.unwrap();
        String::from_utf8(received).unwrap()
    };
    let client = Client::new(addr);
    let call = client.call(Method::Post, "/commands", b"{}", Duration::from_secs(5));
    let (received, answered) = tokio::join!(receive, call);
    assert_eq!(received, pinned);
    assert_eq!(answered, Ok(Answer::new(200, "[]")));
}
