//! Writes a site's settings and declarations to files.

use {
    super::{
        Layout, LayoutOptions,
        layout::{ENGINES, SERVICES},
    },
    crate::StandinError,
    std::path::Path,
};

/// Fleet key for local trials; not a secret.
const TRIAL_FLEET_KEY: &str = "5f1d0c2b7a9e4836d1c05b7f92e3a8640b9c7d15e2f84a3690cd17be5a42f3d8";

/// Writes all files of a site to a directory, which is created if missing.
///
/// # Errors
///
/// Fails if a file can't be written.
pub fn write_site(
    layout: &Layout,
    options: &LayoutOptions,
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

/// Appends a formatted line to a string.
macro_rules! push_line {
    ($text:ident, $($part:tt)*) => {
        $text.push_str(&format!($($part)*));
        $text.push('\n');
    };
}

fn router_settings(layout: &Layout, options: &LayoutOptions, router: usize) -> String {
    let mut text = String::new();
    push_line!(text, "[router]");
    push_line!(text, "host = {}", layout.router_name(router));
    push_line!(text, "domain = {}", layout.router_domain(router));
    push_line!(text, "caller_address = {}", layout.caller_address(router));
    push_line!(text, "admin_address = {}", layout.admin_address(router));
    push_line!(text, "peer_address = {}", layout.peer_address(router));
    push_line!(text, "fleet_key = {TRIAL_FLEET_KEY}");
    push_line!(text, "dispatch = {}", options.dispatch);
    push_line!(text, "\n[platform]");
    push_line!(text, "address = {}", layout.platform_address());
    for peer in (0..layout.routers).filter(|peer| *peer != router) {
        push_line!(text, "\n[peer.{}]", layout.router_name(peer));
        push_line!(text, "domain = {}", layout.router_domain(peer));
        push_line!(text, "address = {}", layout.peer_address_from(router, peer));
    }
    let domain = domain_index(layout, layout.router_domain(router));
    push_line!(text, "\n[reach]");
    for engine in 0..ENGINES {
        let (declared, reached) = (
            layout.engine_address(engine),
            layout.engine_address_from(domain, engine),
        );
        if declared != reached {
            push_line!(text, "{declared} = {reached}");
        }
    }
    text
}

fn engine_settings(layout: &Layout, options: &LayoutOptions, domain: usize) -> String {
    let mut text = String::new();
    for engine in 0..ENGINES {
        if layout.engine_domain(engine) == layout.site.domains[domain] {
            push_line!(text, "[engine.{}]", layout.engine_name(engine));
            push_line!(text, "address = {}", layout.engine_address(engine));
            push_line!(text, "slots = {}\n", options.slots);
        }
    }
    text
}

fn link_settings(layout: &Layout, options: &LayoutOptions) -> String {
    let mut text = String::new();
    push_line!(text, "[link]");
    push_line!(text, "admin_address = {}", layout.link_admin_address());
    let mut route = |name: String, protocol: &str, listen, to, from: &str, into: &str| {
        push_line!(text, "\n[route.{name}]");
        push_line!(text, "protocol = {protocol}");
        push_line!(text, "listen = {listen}");
        push_line!(text, "to = {to}");
        push_line!(text, "from_domain = {from}");
        push_line!(text, "to_domain = {into}");
        push_line!(text, "delay = {}ms", layout.site.delay_ms);
        push_line!(text, "jitter = {}ms", layout.site.delay_ms.div_ceil(2));
        push_line!(text, "loss_percent = {}", options.loss_percent);
    };
    for from in 0..layout.routers {
        for to in 0..layout.routers {
            let listen = layout.peer_address_from(from, to);
            if listen != layout.peer_address(to) {
                let domains = (layout.router_domain(from), layout.router_domain(to));
                let name = format!("r{}-r{}", from + 1, to + 1);
                route(
                    name,
                    "udp",
                    listen,
                    layout.peer_address(to),
                    domains.0,
                    domains.1,
                );
            }
        }
    }
    for (domain, from) in layout.site.domains.iter().enumerate() {
        for engine in 0..ENGINES {
            let listen = layout.engine_address_from(domain, engine);
            if listen != layout.engine_address(engine) {
                let name = format!("{from}-e{}", engine + 1);
                let to = layout.engine_address(engine);
                route(name, "tcp", listen, to, from, layout.engine_domain(engine));
            }
        }
    }
    text
}

fn declarations(layout: &Layout, options: &LayoutOptions) -> String {
    let site = &layout.site;
    let mut text = String::new();
    push_line!(text, "[fleet]");
    push_line!(
        text,
        "urgent_reserve_slots = {}",
        options.urgent_reserve_slots
    );
    push_line!(text, "\n[model.{}]", site.model);
    for (rank, class) in site.classes.iter().enumerate() {
        push_line!(text, "\n[class.{class}]\nrank = {rank}");
    }
    let addresses: Vec<String> = (0..SERVICES)
        .map(|service| layout.service_address(service).to_string())
        .collect();
    push_line!(text, "\n[service.{}]", site.service);
    push_line!(text, "addresses = {}", addresses.join(", "));
    push_line!(
        text,
        "non_idempotent = {}",
        site.non_idempotent_paths.join(", ")
    );
    for engine in 0..ENGINES {
        push_line!(text, "\n[engine.{}]", layout.engine_name(engine));
        push_line!(text, "model = {}", site.model);
        push_line!(text, "domain = {}", layout.engine_domain(engine));
        push_line!(text, "address = {}", layout.engine_address(engine));
        push_line!(text, "slots = {}", options.slots);
    }
    for workspace in site.workspaces {
        let digest = blake3::hash(workspace.key().as_bytes()).to_hex();
        push_line!(text, "\n[workspace.{}]", workspace.name);
        push_line!(text, "weight = {}", workspace.weight);
        push_line!(text, "key_digests = {digest}");
        push_line!(text, "models = {}", site.model);
        push_line!(text, "services = {}", site.service);
        push_line!(text, "queue_limit = 400");
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
