//! Malformed requests, limits and unbuffered streams, over real sockets.

use {
    baobab_web::{Handler, Limits, Rejection, Request, ResponseWriter, Server},
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{Arc, Mutex, mpsc},
        time::Duration,
    },
};

/// Responds with the body's length; `/stream` sends the strings received from `chunks`.
struct EchoHandler {
    rejections: Arc<Mutex<Vec<Rejection>>>,
    chunks: Mutex<mpsc::Receiver<String>>,
}

impl Handler for EchoHandler {
    fn handle(&self, request: Request, writer: ResponseWriter) {
        if request.path == "/stream" {
            let mut stream = writer.stream(200, &[]).expect("the caller is connected");
            for chunk in self.chunks.lock().expect("one stream at a time").iter() {
                stream
                    .send(chunk.as_bytes())
                    .expect("the caller is connected");
            }
            if request.query != "broken" {
                stream.finish().expect("the caller is connected");
            }
            return;
        }
        let body = request.body.len().to_string();
        writer.send(200, &[], body.as_bytes()).ok();
    }

    fn reject(&self, rejection: Rejection, writer: ResponseWriter) {
        self.rejections
            .lock()
            .expect("no thread panics")
            .push(rejection);
        writer.send(400, &[], rejection.to_string().as_bytes()).ok();
    }
}

struct TestServer {
    server: Server,
    rejections: Arc<Mutex<Vec<Rejection>>>,
    chunks: mpsc::Sender<String>,
}

fn start_server(limits: Limits) -> TestServer {
    let (chunks, received_chunks) = mpsc::channel();
    let rejections: Arc<Mutex<Vec<Rejection>>> = Arc::default();
    let echo = EchoHandler {
        rejections: Arc::clone(&rejections),
        chunks: Mutex::new(received_chunks),
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, limits, echo).expect("a port is free");
    TestServer {
        server,
        rejections,
        chunks,
    }
}

fn limits() -> Limits {
    Limits {
        head_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        max_head_bytes: 1024,
        max_body_bytes: 100,
        max_connections: 4,
        ..Limits::default()
    }
}

fn send(address: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut socket = TcpStream::connect(address).expect("the server listens");
    socket.write_all(bytes).expect("the server reads");
    if close {
        socket
            .shutdown(std::net::Shutdown::Write)
            .expect("the connection is open");
    }
    let mut response = String::new();
    socket
        .read_to_string(&mut response)
        .expect("the server responds and closes");
    response
}

#[test]
fn malformed_requests_are_rejected_and_do_not_affect_others() {
    let long_head = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(2000));
    let cases: [(&str, &[u8], bool, Rejection); 11] = [
        (
            "an incomplete head that stalls",
            b"GET / HT",
            false,
            Rejection::HeadTimeout,
        ),
        (
            "an incomplete head, then end of file",
            b"GET / HT",
            true,
            Rejection::BadHead,
        ),
        (
            "not HTTP",
            b"\x16\x03\x01\x02\x00",
            false,
            Rejection::BadHead,
        ),
        (
            "a head that is too large",
            long_head.as_bytes(),
            false,
            Rejection::HeadTooLarge,
        ),
        (
            "a body that is too large",
            b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
            false,
            Rejection::BodyTooLarge,
        ),
        (
            "a chunked body that is too large",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
            false,
            Rejection::BodyTooLarge,
        ),
        (
            "a body that ends early",
            b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
            true,
            Rejection::BodyIncomplete,
        ),
        (
            "a body that stalls",
            b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
            false,
            Rejection::BodyIncomplete,
        ),
        (
            "an invalid content length",
            b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            false,
            Rejection::BadHead,
        ),
        (
            "both content length and chunked coding",
            b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
            false,
            Rejection::BadHead,
        ),
        (
            "an invalid chunk size",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            false,
            Rejection::BadBody,
        ),
    ];
    let test_server = start_server(limits());
    for (name, bytes, close, expected) in cases {
        let response = send(test_server.server.address(), bytes, close);
        assert!(
            response.contains(&expected.to_string()),
            "{name}: {response}"
        );
        let last = test_server
            .rejections
            .lock()
            .expect("no thread panics")
            .pop();
        assert_eq!(last, Some(expected), "{name}");
        let valid_request = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
        let response = send(test_server.server.address(), valid_request, false);
        assert!(
            response.ends_with("\r\n\r\n3"),
            "{name} affects other requests: {response}"
        );
    }
}

#[test]
fn a_chunked_body_is_read_whole() {
    let test_server = start_server(limits());
    let request = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                    3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nTrailer: 1\r\n\r\n";
    let response = send(test_server.server.address(), request, false);
    assert!(response.ends_with("\r\n\r\n7"), "{response}");
}

#[test]
fn connections_over_the_limit_are_rejected() {
    let test_server = start_server(limits());
    let open_connections: Vec<TcpStream> = (0..4)
        .map(|_| TcpStream::connect(test_server.server.address()).expect("the server listens"))
        .collect();
    while test_server.server.connections() < 4 {
        std::thread::yield_now();
    }
    let response = send(test_server.server.address(), b"", false);
    assert!(response.contains("too many connections"), "{response}");
    drop(open_connections);
    while test_server.server.connections() > 0 {
        std::thread::yield_now();
    }
    let valid_request = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    assert!(send(test_server.server.address(), valid_request, false).ends_with('3'));
}

/// Produces each chunk only after the caller has received the previous one.
#[test]
fn each_stream_chunk_is_sent_without_buffering() {
    let test_server = start_server(limits());
    let mut socket = TcpStream::connect(test_server.server.address()).expect("the server listens");
    socket
        .write_all(b"GET /stream HTTP/1.1\r\n\r\n")
        .expect("the server reads");
    let mut lines = BufReader::new(socket).lines();
    for number in 0..20 {
        let chunk = format!("event {number}");
        test_server
            .chunks
            .send(chunk.clone())
            .expect("the server waits");
        let arrived = lines.find(|line| line.as_ref().is_ok_and(|line| *line == chunk));
        assert!(arrived.is_some());
    }
    drop(test_server.chunks);
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    assert!(
        rest.contains(&"0".to_owned()),
        "the terminating chunk is missing: {rest:?}"
    );
}

#[test]
fn a_stream_that_breaks_is_not_terminated_as_complete() {
    let test_server = start_server(limits());
    test_server
        .chunks
        .send("event".into())
        .expect("the server waits");
    drop(test_server.chunks);
    let response = send(
        test_server.server.address(),
        b"GET /stream?broken HTTP/1.1\r\n\r\n",
        false,
    );
    assert!(response.contains("event"));
    assert!(!response.contains("\r\n0\r\n"), "{response}");
}
