//! Settings of links.

use {
    baobab_conf::{Findings, ini::Document},
    std::{net::SocketAddr, str::FromStr, time::Duration},
};

/// What a route relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// Datagrams.
    Udp,
    /// Connections.
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

/// One route.
#[derive(Debug, Clone)]
pub struct RouteConf {
    /// What it relays.
    pub protocol: Protocol,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it sends.
    pub to: SocketAddr,
    /// Failure domain of the sender.
    pub from_domain: String,
    /// Failure domain of the receiver.
    pub to_domain: String,
    /// Delay one way.
    pub delay: Duration,
    /// Largest further delay.
    pub jitter: Duration,
    /// Datagrams lost, in percent. A TCP segment that is lost arrives `retransmit` later.
    pub loss_percent: f64,
    /// Time that a lost TCP segment is late.
    pub retransmit: Duration,
}

/// All routes of a process.
#[derive(Debug, Clone)]
pub struct LinkConf {
    /// Address for orders to cut and to heal.
    pub admin_address: SocketAddr,
    /// Seed of delays and losses.
    pub seed: u64,
    /// Routes.
    pub routes: Vec<RouteConf>,
}

/// Reads the settings of a link process.
///
/// # Errors
///
/// Returns everything found wrong with the file.
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
