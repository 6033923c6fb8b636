//! Copies of the configuration between routers, over TCP, for when the platform is down.

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

/// Time for one peer to answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest packet: it has to fit what the codec takes.
const MAX_PACKET_BYTES: u32 = 4 * 1024 * 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Starts answering peers that ask for a copy, one at a time.
pub fn spawn_copies(context: Arc<AppContext>) -> Result<()> {
    let listener = TcpListener::bind(context.conf.peer_address)?;
    thread::Builder::new()
        .name("copies".into())
        .spawn(move || {
            loop {
                match listener.accept() {
                    Ok((socket, _)) => {
                        if let Err(error) = answer(&context, socket) {
                            log::warn!("a peer got no copy of the configuration: {error}");
                        }
                    }
                    Err(_) => thread::sleep(ACCEPT_PAUSE),
                }
            }
        })
        .map(drop)
}

/// Asks every peer for a copy of its configuration.
pub fn ask_peers(context: &AppContext) -> Vec<ConfigCopy> {
    context
        .conf
        .peers
        .iter()
        .filter_map(|peer| ask(context, &peer.host, peer.address).ok())
        .filter(|copy| copy.version > 0)
        .collect()
}

fn ask(context: &AppContext, host: &str, address: SocketAddr) -> Result<ConfigCopy> {
    let codec = Codec::new(context.conf.fleet_key);
    let mut socket = TcpStream::connect_timeout(&address, TIMEOUT)?;
    // The answer must carry the number of this very question, so that no old one can be replayed.
    let number = baobab_unit::micros(context.clock.now());
    let question = packet(context, id_of(host), number, Message::WantConfig);
    write_packet(&mut socket, &codec, &question)?;
    let answer = read_packet(&mut socket, &codec)?;
    let is_expected = answer.number == number
        && answer.receiver == id_of(&context.conf.host)
        && answer.sender == id_of(host);
    match answer.messages.into_iter().next() {
        Some(Message::Config(copy)) if is_expected => Ok(copy),
        _ => Err(ErrorKind::InvalidData.into()),
    }
}

fn answer(context: &AppContext, mut socket: TcpStream) -> Result<()> {
    let codec = Codec::new(context.conf.fleet_key);
    let question = read_packet(&mut socket, &codec)?;
    if question.receiver != id_of(&context.conf.host) {
        return Err(ErrorKind::InvalidData.into());
    }
    let copy = context.config.get().map_or_else(
        || ConfigCopy {
            version: 0,
            digest: String::new(),
            text: String::new(),
        },
        |in_force| ConfigCopy {
            version: in_force.version,
            digest: in_force.digest.clone(),
            text: in_force.text.clone(),
        },
    );
    let answer = packet(
        context,
        question.sender,
        question.number,
        Message::Config(copy),
    );
    write_packet(&mut socket, &codec, &answer)
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

fn write_packet(socket: &mut TcpStream, codec: &Codec, packet: &Packet) -> Result<()> {
    socket.set_write_timeout(Some(TIMEOUT))?;
    let bytes = codec.encode(packet).map_err(Error::other)?;
    socket.write_all(&baobab_unit::to_u32(bytes.len()).to_be_bytes())?;
    socket.write_all(&bytes)
}

fn read_packet(socket: &mut TcpStream, codec: &Codec) -> Result<Packet> {
    socket.set_read_timeout(Some(TIMEOUT))?;
    let mut size = [0; 4];
    socket.read_exact(&mut size)?;
    let size_bytes = u32::from_be_bytes(size);
    if size_bytes > MAX_PACKET_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; size_bytes as usize];
    socket.read_exact(&mut bytes)?;
    codec.decode(&bytes).map_err(Error::other)
}
