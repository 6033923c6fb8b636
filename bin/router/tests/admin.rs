//! The operators' interface of a router.

mod support;

use {
    rustix::process::{Resource, Rlimit, getrlimit},
    std::{net::TcpStream, thread::sleep, time::Duration},
    support::{Site, wait_until},
};

/// Time in which the router fails to accept connections.
const EXHAUSTION: Duration = Duration::from_millis(200);

#[test]
fn the_operators_interface_serves_again_after_file_descriptors_ran_out() {
    let site = Site::start(1, 1, 4, Duration::from_millis(2));
    let router = &site.routers[0];
    assert!(router.status().is_some());
    let usual = getrlimit(Resource::Nofile);
    let few = Rlimit {
        current: Some(1),
        ..usual
    };
    router.set_limit(Resource::Nofile, few);
    let refused = [router.admin_address, router.caller_address].map(TcpStream::connect);
    sleep(EXHAUSTION);
    router.set_limit(Resource::Nofile, usual);
    drop(refused);
    wait_until("the operators are served again", || {
        router.status().is_some()
    });
    site.wait_ready();
}

#[test]
fn the_operators_interface_serves_status_and_metrics_with_their_types() {
    let site = Site::start(1, 1, 4, Duration::from_millis(2));
    let address = site.routers[0].admin_address;
    let cases = [
        ("/live", 200, "text/plain; charset=utf-8"),
        ("/status", 200, "application/json; charset=utf-8"),
        ("/status?now", 200, "application/json; charset=utf-8"),
        ("/metrics", 200, "text/plain; version=0.0.4"),
        ("/none", 404, ""),
    ];
    for (path, status, content_type) in cases {
        let response = attohttpc::get(format!("http://{address}{path}"))
            .send()
            .unwrap();
        let found = response.headers().get("content-type");
        let found = found.map_or("", |value| value.to_str().unwrap());
        assert_eq!(
            (response.status().as_u16(), found),
            (status, content_type),
            "{path}"
        );
    }
}
