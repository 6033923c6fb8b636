//! Exchange of configuration copies between routers over TCP, for when the platform is down.

use {
    crate::context::AppContext,
    baobab_unit::id_of,
    baobab_wire::{Codec, ConfigCopy, Message, Packet},
    std::{
        io::{Error, ErrorKind, Read, Result, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// Timeout of connecting to a peer, and of each read and write.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum packet size; no more than the codec accepts.
const MAX_PACKET_BYTES: u32 = 4 * 1024 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Starts the thread that serves copies to peers, one at a time.
pub fn spawn_copy_server(context: Arc<AppContext>) -> Result<()> {
    let listener = TcpListener::bind(context.conf.peer_address)?;
    thread::Builder::new()
        .name("copies".into())
        .spawn(move || {
            loop {
                match listener.accept() {
                    Ok((stream, _)) => {
                        if let Err(error) = serve_copy(&context, stream) {
                            log::warn!("failed to serve a configuration copy to a peer: {error}");
                        }
                    }
                    Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
                }
            }
        })
        .map(drop)
}

/// Requests a configuration copy from every peer, in order. Peers that fail or have none are left
/// out.
pub fn fetch_from_peers(context: &AppContext) -> Vec<ConfigCopy> {
    context
        .conf
        .peers
        .iter()
        .filter_map(|peer| fetch_copy(context, &peer.host, peer.address).ok())
        .filter(|copy| copy.version > 0)
        .collect()
}

fn fetch_copy(context: &AppContext, host: &str, address: SocketAddr) -> Result<ConfigCopy> {
    let codec = Codec::new(context.conf.fleet_key);
    let mut stream = TcpStream::connect_timeout(&address, PEER_TIMEOUT)?;
    // The response must carry the number of this request, so that no old response can be replayed.
    let number = baobab_unit::micros(context.clock.now());
    let request = packet(context, id_of(host), number, Message::WantConfig);
    write_packet(&mut stream, &codec, &request)?;
    let response = read_packet(&mut stream, &codec)?;
    let is_expected = response.number == number
        && response.receiver == id_of(&context.conf.host)
        && response.sender == id_of(host);
    match response.messages.into_iter().next() {
        Some(Message::Config(copy)) if is_expected => Ok(copy),
        _ => Err(ErrorKind::InvalidData.into()),
    }
}

fn serve_copy(context: &AppContext, mut stream: TcpStream) -> Result<()> {
    let codec = Codec::new(context.conf.fleet_key);
    let request = read_packet(&mut stream, &codec)?;
    if request.receiver != id_of(&context.conf.host) {
        return Err(ErrorKind::InvalidData.into());
    }
    let copy = context.config.get().map_or_else(
        || ConfigCopy {
            version: 0,
            digest: String::new(),
            text: String::new(),
        },
        |configuration| ConfigCopy {
            version: configuration.version,
            digest: configuration.digest.clone(),
            text: configuration.text.clone(),
        },
    );
    let response = packet(
        context,
        request.sender,
        request.number,
        Message::Config(copy),
    );
    write_packet(&mut stream, &codec, &response)
}

fn packet(context: &AppContext, receiver: u32, number: u64, message: Message) -> Packet {
    Packet {
        sender: id_of(&context.conf.host),
        receiver,
        incarnation: context.incarnation,
        number,
        messages: vec![message],
    }
}

fn write_packet(stream: &mut TcpStream, codec: &Codec, packet: &Packet) -> Result<()> {
    stream.set_write_timeout(Some(PEER_TIMEOUT))?;
    let bytes = codec.encode(packet).map_err(Error::other)?;
    stream.write_all(&baobab_unit::to_u32(bytes.len()).to_be_bytes())?;
    stream.write_all(&bytes)
}

fn read_packet(stream: &mut TcpStream, codec: &Codec) -> Result<Packet> {
    stream.set_read_timeout(Some(PEER_TIMEOUT))?;
    let mut size = [0; 4];
    stream.read_exact(&mut size)?;
    let size_bytes = u32::from_be_bytes(size);
    if size_bytes > MAX_PACKET_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; size_bytes as usize];
    stream.read_exact(&mut bytes)?;
    codec.decode(&bytes).map_err(Error::other)
}
