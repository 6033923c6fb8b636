//! Bodies that a server's end cuts short.

use {
    baobab_engine::{CallOutcome, CallRequest, HttpBackendClient, OrderClient, ServiceClient},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
    },
};

/// Starts a server that sends this text to one request, and closes the connection.
fn serve_once(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
            head.push(byte[0]);
        }
        stream.write_all(text.as_bytes()).unwrap();
    });
    address
}

/// Guards against a body that is shorter than its declared length and is passed on as a complete response.
#[test]
fn a_response_shorter_than_its_length_is_lost() {
    let address = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    let request = CallRequest {
        method: "GET".to_owned(),
        target: "/x".to_owned(),
        content_type: "text/plain".to_owned(),
        idempotency_key: None,
        body: Vec::new(),
    };
    let outcome = HttpBackendClient::default().call(address, &request);
    assert_eq!(outcome, CallOutcome::Lost);
}

/// Guards against the beginning of a version that is taken for the version.
#[test]
fn a_version_shorter_than_its_length_is_unknown() {
    let address = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nv1.2");
    assert_eq!(HttpBackendClient::default().version(address), None);
}

/// The other side: whole bodies are passed on, however they are framed.
#[test]
fn a_whole_response_is_passed_on() {
    let cases = [
        ("GET", "Content-Length: 4\r\n\r\nhalf", "half"),
        (
            "GET",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
            "half",
        ),
        ("GET", "\r\nhalf", "half"),
        ("GET", "Content-Length: 0\r\n\r\n", ""),
        ("HEAD", "Content-Length: 10\r\n\r\n", ""),
    ];
    for (method, rest, expected) in cases {
        let text = format!("HTTP/1.1 200 OK\r\n{rest}");
        let address = serve_once(text.leak());
        let request = CallRequest {
            method: method.to_owned(),
            target: "/x".to_owned(),
            content_type: "text/plain".to_owned(),
            idempotency_key: None,
            body: Vec::new(),
        };
        match HttpBackendClient::default().call(address, &request) {
            CallOutcome::Responded { status, body, .. } => {
                assert_eq!((status, body.as_slice()), (200, expected.as_bytes()));
            }
            outcome => panic!("{method} {rest:?}: {outcome:?}"),
        }
    }
}
