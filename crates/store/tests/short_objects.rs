//! Objects that the store's end cuts short.

use {
    baobab_store::{HttpStore, ObjectStore},
    std::{
        io::{Read, Write},
        net::TcpListener,
        thread,
        time::Duration,
    },
};

/// Guards against an object that is shorter than its declared length and is read as if it were whole.
#[test]
fn an_object_shorter_than_its_length_is_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
            head.push(byte[0]);
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            .unwrap();
    });
    let object = HttpStore::open(address, Duration::from_secs(2)).get("audit/x");
    assert!(object.is_err(), "{object:?}");
}
