//! Settings file of a router.

use {
    crate::ini::{Document, Findings, Section},
    std::{net::SocketAddr, path::Path, str::FromStr, time::Duration},
};

const FLEET_KEY_BYTES: usize = 32;

/// How engine slots are assigned to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchMode {
    /// One dispatcher for each pool grants slots to routers.
    Grants,
    /// Each router uses a fixed share of the slots; a baseline to compare `Grants` with.
    Shares,
}

impl FromStr for DispatchMode {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "grants" => Ok(Self::Grants),
            "shares" => Ok(Self::Shares),
            _ => Err(()),
        }
    }
}

/// Another router of the fleet.
#[derive(Debug, Clone)]
pub struct PeerConf {
    /// Host name.
    pub host: String,
    /// Failure domain name.
    pub domain: String,
    /// UDP and TCP address as reached from this host.
    pub address: SocketAddr,
}

/// Replaces a backend server's declared address by the one that reaches it from this host.
#[derive(Debug, Clone, Copy)]
pub struct AddressOverride {
    /// Address in the declarations.
    pub declared: SocketAddr,
    /// Address to connect to.
    pub reached: SocketAddr,
}

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct RouterConf {
    /// Host name.
    pub host: String,
    /// Failure domain name.
    pub domain: String,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for operators: status and metrics.
    pub admin_address: SocketAddr,
    /// Listen address for peers: messages over UDP, configuration copies over TCP.
    pub peer_address: SocketAddr,
    /// Key that authenticates packets between peers; the audit key is derived from it.
    pub fleet_key: [u8; FLEET_KEY_BYTES],
    /// Address of the platform's table and object store.
    pub platform_address: SocketAddr,
    /// Timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// Interval between reads of the configuration head.
    pub head_poll: Duration,
    /// How engine slots are assigned to requests.
    pub dispatch: DispatchMode,
    /// Time that a planned stop waits for the load balancer to notice.
    pub drain_notice: Duration,
    /// Maximum time that a request may wait in the queue.
    pub queue_timeout: Duration,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time to receive a request body.
    pub body_timeout: Duration,
    /// The other routers of the fleet.
    pub peers: Vec<PeerConf>,
    /// Backend servers reached at another address than declared.
    pub address_overrides: Vec<AddressOverride>,
}

/// Loads a router's settings file.
///
/// # Errors
///
/// Returns all errors of the file with their lines; line 0 if it can't be read.
pub fn load_router_conf(path: &Path) -> Result<RouterConf, Findings> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse_router_conf(&file, &text),
        Err(error) => {
            let mut findings = Findings::new(&file);
            findings.add(0, format!("can't be read: {error}"));
            Err(findings)
        }
    }
}

fn parse_router_conf(file: &str, text: &str) -> Result<RouterConf, Findings> {
    let mut findings = Findings::new(file);
    let mut document = Document::parse(text, &mut findings);
    let conf = read_conf(&mut document, &mut findings);
    document.finish(&mut findings);
    findings.into_result(conf)
}

fn read_conf(document: &mut Document, findings: &mut Findings) -> RouterConf {
    let mut router = document.take_required("router", findings);
    let mut platform = document.take_required("platform", findings);
    let conf = RouterConf {
        host: router.text("host", findings),
        domain: router.text("domain", findings),
        caller_address: router.address("caller_address", findings),
        admin_address: router.address("admin_address", findings),
        peer_address: router.address("peer_address", findings),
        fleet_key: read_key(&mut router, findings),
        dispatch: router.value(
            "dispatch",
            DispatchMode::Grants,
            "'grants' or 'shares'",
            findings,
        ),
        drain_notice: router.time("drain_notice", Duration::from_secs(1), findings),
        queue_timeout: router.time("queue_timeout", Duration::from_mins(2), findings),
        connections: router.value("connections", 2048, "a number", findings),
        body_bytes: router.value("body_bytes", 1024 * 1024, "a number of bytes", findings),
        head_timeout: router.time("head_timeout", Duration::from_secs(5), findings),
        body_timeout: router.time("body_timeout", Duration::from_secs(15), findings),
        platform_address: platform.address("address", findings),
        platform_timeout: platform.time("timeout", Duration::from_millis(800), findings),
        head_poll: platform.time("head_poll", Duration::from_secs(1), findings),
        peers: document
            .take("peer")
            .into_iter()
            .map(|section| read_peer(section, findings))
            .collect(),
        address_overrides: read_address_overrides(document, findings),
    };
    router.finish(findings);
    platform.finish(findings);
    conf
}

fn read_peer(mut section: Section, findings: &mut Findings) -> PeerConf {
    let peer = PeerConf {
        host: section.name().to_owned(),
        domain: section.text("domain", findings),
        address: section.address("address", findings),
    };
    section.finish(findings);
    peer
}

fn read_address_overrides(
    document: &mut Document,
    findings: &mut Findings,
) -> Vec<AddressOverride> {
    let Some(mut section) = document.take_optional("reach") else {
        return Vec::new();
    };
    let mut list = Vec::new();
    for entry in section.take_all() {
        match (entry.key.parse(), entry.value.parse()) {
            (Ok(declared), Ok(reached)) => list.push(AddressOverride { declared, reached }),
            _ => findings.add(entry.line, "write 'declared address = reached address'"),
        }
    }
    list
}

fn read_key(section: &mut Section, findings: &mut Findings) -> [u8; FLEET_KEY_BYTES] {
    let line = section.line();
    let text = section.text("fleet_key", findings);
    let mut key = [0; FLEET_KEY_BYTES];
    if text.len() != FLEET_KEY_BYTES * 2 || !text.is_ascii() {
        findings.add(line, "'fleet_key' is not 64 hexadecimal digits");
        return key;
    }
    for (index, byte) in key.iter_mut().enumerate() {
        let Ok(value) = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16) else {
            findings.add(line, "'fleet_key' is not 64 hexadecimal digits");
            return key;
        };
        *byte = value;
    }
    key
}
