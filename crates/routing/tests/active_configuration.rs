//! The active configuration: version order, lease, and route lookup.

use {
    baobab_routing::{
        ActiveConfiguration, Configuration, Confirmation, ConfirmationState, Limits, RetrySafety,
        Route, Target, find_route,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const LEASE: Duration = Duration::from_secs(4);

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap_objective: Duration::from_millis(100),
        rank: 1,
        targets: vec![Target {
            service: "lookup".to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        is_anonymous: true,
    }
}

fn configuration(version: u64, routes: Vec<Route>) -> Arc<Configuration> {
    Arc::new(Configuration {
        version,
        routes,
        services: BTreeMap::new(),
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_s: None,
        },
        keys: None,
    })
}

fn confirmation(version: u64, as_of_s: u64) -> Confirmation {
    Confirmation {
        version,
        as_of: Duration::from_secs(as_of_s),
        store_time: Duration::from_secs(as_of_s),
    }
}

#[test]
fn an_older_version_is_never_adopted() {
    let mut active_configuration = ActiveConfiguration::new(LEASE);
    for (version, adopted) in [(3, true), (2, false), (3, false), (7, true), (5, false)] {
        assert_eq!(
            active_configuration.adopt(configuration(version, Vec::new())),
            adopted,
            "{version}"
        );
    }
    assert_eq!(
        active_configuration
            .current()
            .map(|current| current.version),
        Some(7)
    );
}

#[test]
fn the_state_is_confirmed_only_within_the_lease_of_the_active_version() {
    let mut active_configuration = ActiveConfiguration::new(LEASE);
    assert_eq!(
        active_configuration.confirmation_state(Duration::ZERO),
        ConfirmationState::Unknown
    );
    active_configuration.adopt(configuration(3, Vec::new()));
    assert_eq!(
        active_configuration.confirmation_state(Duration::ZERO),
        ConfirmationState::Expired
    );
    active_configuration.confirm(confirmation(3, 10));
    assert_eq!(
        active_configuration.confirmation_state(Duration::from_secs(14)),
        ConfirmationState::Confirmed
    );
    assert_eq!(
        active_configuration.confirmation_state(Duration::from_secs(15)),
        ConfirmationState::Expired
    );
}

#[test]
fn a_confirmation_of_another_version_is_ignored() {
    let mut active_configuration = ActiveConfiguration::new(LEASE);
    active_configuration.adopt(configuration(3, Vec::new()));
    active_configuration.confirm(confirmation(2, 10));
    active_configuration.confirm(confirmation(4, 10));
    assert_eq!(
        active_configuration.confirmation_state(Duration::from_secs(10)),
        ConfirmationState::Expired
    );
}

#[test]
fn a_late_confirmation_does_not_shorten_the_lease() {
    let mut active_configuration = ActiveConfiguration::new(LEASE);
    active_configuration.adopt(configuration(3, Vec::new()));
    active_configuration.confirm(confirmation(3, 10));
    active_configuration.confirm(confirmation(3, 5));
    assert_eq!(
        active_configuration.confirmation_state(Duration::from_secs(14)),
        ConfirmationState::Confirmed
    );
}

#[test]
fn the_route_with_the_longest_matching_prefix_of_the_host_is_found() {
    let all = configuration(
        1,
        vec![
            route("wide", "a.example", "/x/"),
            route("narrow", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ],
    );
    for (host, path, expected) in [
        ("a.example", "/x/1", Some("wide")),
        ("a.example", "/x/y/1", Some("narrow")),
        ("A.example", "/x/y/z/1", Some("narrow")),
        ("b.example", "/x/y/z/1", Some("other")),
        ("b.example", "/x/1", None),
        ("a.example", "/x", None),
        ("c.example", "/x/1", None),
    ] {
        let found = find_route(&all, host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}
