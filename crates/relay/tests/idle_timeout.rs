//! Which closed idle connections are explained by a server's idle timeout.

use {baobab_relay::ObservedIdleTimeout, std::time::Duration, tokio::time::Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns whether the last of these closures, each with its time and the idle time, is explained.
fn is_explained(idle_timeout: &mut ObservedIdleTimeout, closures: &[(u64, u64)]) -> bool {
    let start = Instant::now();
    let explained = closures
        .iter()
        .map(|(at, idle_for)| idle_timeout.on_closed(ms(*idle_for), start + ms(*at)));
    explained.last().unwrap()
}

#[test]
fn only_an_idle_time_that_repeats_itself_is_explained() {
    for (closures, expected) in [
        (&[(0, 500)][..], false),
        (&[(0, 500), (1_000, 500)], false),
        (&[(0, 500), (1_000, 500), (2_000, 500)], true),
        (&[(0, 500), (1_000, 540), (2_000, 590)], true),
        // The server closes all connections, whatever their idle time.
        (&[(0, 500), (1_000, 500), (2_000, 300)], false),
        (&[(0, 500), (1_000, 500), (2_000, 500), (2_001, 300)], false),
        (&[(0, 500), (1, 500), (2, 500), (3, 500)], false),
        // In steady use they are idle for a moment whenever it ends.
        (&[(0, 20), (1_000, 20), (2_000, 20), (3_000, 20)], false),
        // This router stood still, or the server closes them later than before.
        (&[(0, 500), (1_000, 500), (2_000, 1_500)], false),
        // Its timeouts differ.
        (
            &[
                (0, 300),
                (1_000, 600),
                (2_000, 900),
                (3_000, 650),
                (4_000, 620),
            ],
            true,
        ),
    ] {
        let mut idle_timeout = ObservedIdleTimeout::default();
        assert_eq!(
            is_explained(&mut idle_timeout, closures),
            expected,
            "{closures:?}"
        );
    }
}

#[test]
fn an_idle_time_that_connections_survive_is_forgotten() {
    for (survived, expected) in [(550, true), (700, false)] {
        let mut idle_timeout = ObservedIdleTimeout::default();
        is_explained(&mut idle_timeout, &[(0, 500), (1_000, 500)]);
        idle_timeout.on_open(ms(survived));
        let result = idle_timeout.on_closed(ms(500), Instant::now() + ms(2_000));
        assert_eq!(result, expected, "open after {survived} ms");
    }
}
