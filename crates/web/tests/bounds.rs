//! Bad input at a real socket, and streams that must not be held back.

use {
    baobab_web::{Handler, Limits, Rejection, Reply, Request, Server},
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{Arc, Mutex, mpsc},
        time::Duration,
    },
};

/// Answers with the body's length, and streams as a script in `pieces` says.
struct Echo {
    rejections: Arc<Mutex<Vec<Rejection>>>,
    pieces: Mutex<mpsc::Receiver<String>>,
}

impl Handler for Echo {
    fn handle(&self, request: Request, reply: Reply) {
        if request.path == "/stream" {
            let mut stream = reply.stream(200, &[]).expect("the caller is there");
            for piece in self.pieces.lock().expect("one stream at a time").iter() {
                stream.send(piece.as_bytes()).expect("the caller is there");
            }
            if request.query != "broken" {
                stream.finish().expect("the caller is there");
            }
            return;
        }
        let body = request.body.len().to_string();
        reply.send(200, &[], body.as_bytes()).ok();
    }

    fn reject(&self, rejection: Rejection, reply: Reply) {
        self.rejections
            .lock()
            .expect("no thread panics")
            .push(rejection);
        reply.send(400, &[], rejection.to_string().as_bytes()).ok();
    }
}

struct Bench {
    server: Server,
    rejections: Arc<Mutex<Vec<Rejection>>>,
    pieces: mpsc::Sender<String>,
}

fn bench(limits: Limits) -> Bench {
    let (pieces, received) = mpsc::channel();
    let rejections: Arc<Mutex<Vec<Rejection>>> = Arc::default();
    let echo = Echo {
        rejections: Arc::clone(&rejections),
        pieces: Mutex::new(received),
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, limits, echo).expect("a port is free");
    Bench {
        server,
        rejections,
        pieces,
    }
}

fn limits() -> Limits {
    Limits {
        head_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        head_bytes: 1024,
        body_bytes: 100,
        connections: 4,
        ..Limits::default()
    }
}

fn send(address: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut socket = TcpStream::connect(address).expect("the server listens");
    socket.write_all(bytes).expect("the server reads");
    if close {
        socket
            .shutdown(std::net::Shutdown::Write)
            .expect("it is open");
    }
    let mut answer = String::new();
    socket
        .read_to_string(&mut answer)
        .expect("the server answers and closes");
    answer
}

#[test]
fn bad_input_is_refused_and_disturbs_nothing() {
    let long_head = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(2000));
    let cases: [(&str, &[u8], bool, Rejection); 11] = [
        (
            "half a head, then silence",
            b"GET / HT",
            false,
            Rejection::HeadTimeout,
        ),
        (
            "half a head, then the end",
            b"GET / HT",
            true,
            Rejection::BadHead,
        ),
        (
            "no HTTP at all",
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
            "a length that is no number",
            b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            false,
            Rejection::BadHead,
        ),
        (
            "two framings at once",
            b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
            false,
            Rejection::BadHead,
        ),
        (
            "a chunk size that is no number",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            false,
            Rejection::BadBody,
        ),
    ];
    let bench = bench(limits());
    for (name, bytes, close, expected) in cases {
        let answer = send(bench.server.address(), bytes, close);
        assert!(answer.contains(&expected.to_string()), "{name}: {answer}");
        let last = bench.rejections.lock().expect("no thread panics").pop();
        assert_eq!(last, Some(expected), "{name}");
        let fine = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
        let answer = send(bench.server.address(), fine, false);
        assert!(
            answer.ends_with("\r\n\r\n3"),
            "{name} disturbs others: {answer}"
        );
    }
}

#[test]
fn a_chunked_body_is_read_whole() {
    let bench = bench(limits());
    let request = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                    3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nTrailer: 1\r\n\r\n";
    let answer = send(bench.server.address(), request, false);
    assert!(answer.ends_with("\r\n\r\n7"), "{answer}");
}

#[test]
fn connections_are_bounded() {
    let bench = bench(limits());
    let held: Vec<TcpStream> = (0..4)
        .map(|_| TcpStream::connect(bench.server.address()).expect("the server listens"))
        .collect();
    while bench.server.connections() < 4 {
        std::thread::yield_now();
    }
    let answer = send(bench.server.address(), b"", false);
    assert!(answer.contains("too many connections"), "{answer}");
    drop(held);
    while bench.server.connections() > 0 {
        std::thread::yield_now();
    }
    let fine = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    assert!(send(bench.server.address(), fine, false).ends_with('3'));
}

/// The next piece is produced only after the one before has reached the caller.
#[test]
fn each_piece_leaves_before_the_next_is_produced() {
    let bench = bench(limits());
    let mut socket = TcpStream::connect(bench.server.address()).expect("the server listens");
    socket
        .write_all(b"GET /stream HTTP/1.1\r\n\r\n")
        .expect("the server reads");
    let mut lines = BufReader::new(socket).lines();
    for number in 0..20 {
        let piece = format!("event {number}");
        bench.pieces.send(piece.clone()).expect("the server waits");
        let arrived = lines.find(|line| line.as_ref().is_ok_and(|line| *line == piece));
        assert!(arrived.is_some());
    }
    drop(bench.pieces);
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    assert!(
        rest.contains(&"0".to_owned()),
        "the end is marked: {rest:?}"
    );
}

#[test]
fn a_stream_that_breaks_is_not_marked_as_complete() {
    let bench = bench(limits());
    bench.pieces.send("event".into()).expect("the server waits");
    drop(bench.pieces);
    let answer = send(
        bench.server.address(),
        b"GET /stream?broken HTTP/1.1\r\n\r\n",
        false,
    );
    assert!(answer.contains("event"));
    assert!(!answer.contains("\r\n0\r\n"), "{answer}");
}
