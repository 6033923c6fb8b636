//! Writes a site's settings and declarations as files.

use {
    super::{
        Layout, Options,
        layout::{ENGINES, SERVICES},
    },
    crate::StandinError,
    std::path::Path,
};

/// Key of a fleet that is only tried out.
const TRY_FLEET_KEY: &str = "5f1d0c2b7a9e4836d1c05b7f92e3a8640b9c7d15e2f84a3690cd17be5a42f3d8";

/// Writes all files of a site into a directory.
///
/// # Errors
///
/// Fails where a file can't be written.
pub fn write_site(
    layout: &Layout,
    options: &Options,
    directory: &Path,
) -> Result<(), StandinError> {
    let file = |name: &str, text: String| -> Result<(), StandinError> {
        let path = directory.join(name);
        std::fs::write(&path, text)
            .map_err(|error| StandinError::File(path.display().to_string(), error.to_string()))
    };
    std::fs::create_dir_all(directory)
        .map_err(|error| StandinError::File(directory.display().to_string(), error.to_string()))?;
    for router in 0..layout.routers {
        let name = format!("router-{}.ini", router + 1);
        file(&name, router_settings(layout, options, router))?;
    }
    for domain in 0..layout.site.domains.len() {
        let name = format!("engines-{}.ini", domain + 1);
        file(&name, engine_settings(layout, options, domain))?;
    }
    file("link.ini", link_settings(layout, options))?;
    file("declarations.ini", declarations(layout, options))
}

/// Adds a line to a text.
macro_rules! line {
    ($text:ident, $($part:tt)*) => {
        $text.push_str(&format!($($part)*));
        $text.push('\n');
    };
}

fn router_settings(layout: &Layout, options: &Options, router: usize) -> String {
    let mut text = String::new();
    line!(text, "[router]");
    line!(text, "host = {}", layout.router_name(router));
    line!(text, "domain = {}", layout.router_domain(router));
    line!(text, "caller_address = {}", layout.callers(router));
    line!(text, "admin_address = {}", layout.admin(router));
    line!(text, "peer_address = {}", layout.peer(router));
    line!(text, "fleet_key = {TRY_FLEET_KEY}");
    line!(text, "dispatch = {}", options.dispatch);
    line!(text, "\n[platform]");
    line!(text, "address = {}", layout.platform());
    for peer in (0..layout.routers).filter(|peer| *peer != router) {
        line!(text, "\n[peer.{}]", layout.router_name(peer));
        line!(text, "domain = {}", layout.router_domain(peer));
        line!(text, "address = {}", layout.peer_from(router, peer));
    }
    let domain = domain_index(layout, layout.router_domain(router));
    line!(text, "\n[reach]");
    for engine in 0..ENGINES {
        let (declared, reached) = (layout.engine(engine), layout.engine_from(domain, engine));
        if declared != reached {
            line!(text, "{declared} = {reached}");
        }
    }
    text
}

fn engine_settings(layout: &Layout, options: &Options, domain: usize) -> String {
    let mut text = String::new();
    for engine in 0..ENGINES {
        if layout.engine_domain(engine) == layout.site.domains[domain] {
            line!(text, "[engine.{}]", layout.engine_name(engine));
            line!(text, "address = {}", layout.engine(engine));
            line!(text, "slots = {}\n", options.slots);
        }
    }
    text
}

fn link_settings(layout: &Layout, options: &Options) -> String {
    let mut text = String::new();
    line!(text, "[link]");
    line!(text, "admin_address = {}", layout.link_admin());
    let mut route = |name: String, protocol: &str, listen, to, from: &str, into: &str| {
        line!(text, "\n[route.{name}]");
        line!(text, "protocol = {protocol}");
        line!(text, "listen = {listen}");
        line!(text, "to = {to}");
        line!(text, "from_domain = {from}");
        line!(text, "to_domain = {into}");
        line!(text, "delay = {}ms", layout.site.delay_ms);
        line!(text, "jitter = {}ms", layout.site.delay_ms.div_ceil(2));
        line!(text, "loss_percent = {}", options.loss_percent);
    };
    for from in 0..layout.routers {
        for to in 0..layout.routers {
            let listen = layout.peer_from(from, to);
            if listen != layout.peer(to) {
                let domains = (layout.router_domain(from), layout.router_domain(to));
                let name = format!("r{}-r{}", from + 1, to + 1);
                route(name, "udp", listen, layout.peer(to), domains.0, domains.1);
            }
        }
    }
    for (domain, from) in layout.site.domains.iter().enumerate() {
        for engine in 0..ENGINES {
            let listen = layout.engine_from(domain, engine);
            if listen != layout.engine(engine) {
                let name = format!("{from}-e{}", engine + 1);
                let to = layout.engine(engine);
                route(name, "tcp", listen, to, from, layout.engine_domain(engine));
            }
        }
    }
    text
}

fn declarations(layout: &Layout, options: &Options) -> String {
    let site = &layout.site;
    let mut text = String::new();
    line!(text, "[fleet]");
    line!(
        text,
        "urgent_reserve_slots = {}",
        options.urgent_reserve_slots
    );
    line!(text, "\n[model.{}]", site.model);
    for (rank, class) in site.classes.iter().enumerate() {
        line!(text, "\n[class.{class}]\nrank = {rank}");
    }
    let addresses: Vec<String> = (0..SERVICES)
        .map(|service| layout.service(service).to_string())
        .collect();
    line!(text, "\n[service.{}]", site.service);
    line!(text, "addresses = {}", addresses.join(", "));
    line!(text, "non_idempotent = {}", site.non_idempotent.join(", "));
    for engine in 0..ENGINES {
        line!(text, "\n[engine.{}]", layout.engine_name(engine));
        line!(text, "model = {}", site.model);
        line!(text, "domain = {}", layout.engine_domain(engine));
        line!(text, "address = {}", layout.engine(engine));
        line!(text, "slots = {}", options.slots);
    }
    for workspace in site.workspaces {
        let digest = blake3::hash(workspace.key().as_bytes()).to_hex();
        line!(text, "\n[workspace.{}]", workspace.name);
        line!(text, "weight = {}", workspace.weight);
        line!(text, "key_digests = {digest}");
        line!(text, "models = {}", site.model);
        line!(text, "services = {}", site.service);
        line!(text, "queue_limit = 400");
    }
    text
}

fn domain_index(layout: &Layout, name: &str) -> usize {
    layout
        .site
        .domains
        .iter()
        .position(|domain| *domain == name)
        .unwrap_or_default()
}
