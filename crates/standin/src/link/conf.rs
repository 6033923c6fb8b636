//! Settings of a link process.

use {
    baobab_conf::{Findings, ini::Document},
    std::{net::SocketAddr, str::FromStr, time::Duration},
};

/// Protocol that a route relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// UDP datagrams.
    Udp,
    /// TCP connections.
    Tcp,
}

impl FromStr for Protocol {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "udp" => Ok(Self::Udp),
            "tcp" => Ok(Self::Tcp),
            _ => Err(()),
        }
    }
}

/// Relay from one address to another.
#[derive(Debug, Clone)]
pub struct RouteConf {
    /// Protocol to relay.
    pub protocol: Protocol,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to relay to.
    pub to: SocketAddr,
    /// Failure domain of the sender.
    pub from_domain: String,
    /// Failure domain of the receiver.
    pub to_domain: String,
    /// Minimum one-way delay.
    pub delay: Duration,
    /// Maximum additional random delay.
    pub jitter: Duration,
    /// Datagrams lost, in percent. A lost TCP segment arrives `retransmit` later instead.
    pub loss_percent: f64,
    /// Additional delay of a lost TCP segment.
    pub retransmit: Duration,
}

/// Settings of a link process.
#[derive(Debug, Clone)]
pub struct LinkConf {
    /// Address of the HTTP interface to cut and heal links.
    pub admin_address: SocketAddr,
    /// Seed of the random delays and losses.
    pub seed: u64,
    /// Routes to relay.
    pub routes: Vec<RouteConf>,
}

/// Parses the settings of a link process.
///
/// # Errors
///
/// Returns all findings if the file is invalid.
pub fn parse_links(file: &str, text: &str) -> Result<LinkConf, Findings> {
    let mut findings = Findings::new(file);
    let mut document = Document::parse(text, &mut findings);
    let mut link = document.take_required("link", &mut findings);
    let mut conf = LinkConf {
        admin_address: link.address("admin_address", &mut findings),
        seed: link.value("seed", 1, "a number", &mut findings),
        routes: Vec::new(),
    };
    link.finish(&mut findings);
    for mut section in document.take("route") {
        let found = &mut findings;
        conf.routes.push(RouteConf {
            protocol: section.value("protocol", Protocol::Udp, "'udp' or 'tcp'", found),
            listen: section.address("listen", found),
            to: section.address("to", found),
            from_domain: section.text("from_domain", found),
            to_domain: section.text("to_domain", found),
            delay: section.time("delay", Duration::from_millis(4), found),
            jitter: section.time("jitter", Duration::from_millis(1), found),
            loss_percent: section.value("loss_percent", 0.0, "a percentage", found),
            retransmit: section.time("retransmit", Duration::from_millis(30), found),
        });
        section.finish(found);
    }
    document.finish(&mut findings);
    findings.into_result(conf)
}
