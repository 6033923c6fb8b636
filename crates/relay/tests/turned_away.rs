//! Requests that an overloaded router refuses unread.

use {
    baobab_relay::{UnreadRefusal, discard_request, refuse_unread},
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

/// Sends `request` and has it refused. Returns the refusal, the connection and the caller's end.
async fn refuse(request: &[u8]) -> (UnreadRefusal, tokio::net::TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    caller.write_all(request).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    accepted.set_nonblocking(true).unwrap();
    let accepted = tokio::net::TcpStream::from_std(accepted).unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let refusal = refuse_unread(&accepted, &mut Vec::new(), 0.5);
    (refusal, accepted, caller)
}

fn response(caller: &mut TcpStream) -> String {
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();
    response
}

#[tokio::test(flavor = "current_thread")]
async fn a_refusal_says_when_to_retry() {
    let cases: [(&[u8], bool); 4] = [
        (b"GET /ticket HTTP/1.1\r\nhost: a\r\n\r\n", true),
        (
            b"POST /order HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody",
            true,
        ),
        (
            b"POST /order HTTP/1.1\r\ncontent-length: 4\r\n\r\nbo",
            false,
        ),
        (b"POST /order HTTP/1.1\r\nho", false),
    ];
    for (request, is_request_complete) in cases {
        let (refusal, accepted, mut caller) = refuse(request).await;
        assert_eq!(
            refusal,
            UnreadRefusal::Sent {
                is_request_complete
            }
        );
        drop(accepted);
        let response = response(&mut caller);
        assert!(response.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
        assert!(
            response.contains("\r\nretry-after: 0.090\r\n"),
            "{response}"
        );
        assert!(response.contains("\r\nconnection: close\r\n"));
        assert!(response.ends_with("{\"code\":\"router_overloaded\"}"));
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_caller_that_is_still_sending_receives_the_refusal() {
    let request = b"POST /order HTTP/1.1\r\ncontent-length: 100000\r\n\r\n";
    let (refusal, accepted, mut caller) = refuse(request).await;
    let sent = UnreadRefusal::Sent {
        is_request_complete: false,
    };
    assert_eq!(refusal, sent);
    let caller = thread::spawn(move || {
        caller.write_all(&vec![b'a'; 100_000]).unwrap();
        caller.shutdown(Shutdown::Write).unwrap();
        response(&mut caller)
    });
    discard_request(accepted).await;
    assert!(caller.join().unwrap().starts_with("HTTP/1.1 503 "));
}

#[tokio::test(flavor = "current_thread")]
async fn a_connection_without_a_request_is_not_refused() {
    let (refusal, accepted, caller) = refuse(b"").await;
    assert_eq!(refusal, UnreadRefusal::NoRequest);
    drop((accepted, caller));
}
