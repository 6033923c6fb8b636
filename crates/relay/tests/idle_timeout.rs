//! Which closed idle connections are explained by a server's idle timeout.

use {baobab_relay::ObservedIdleTimeout, std::time::Duration};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn only_a_repeated_idle_time_is_explained() {
    for (closed_after, last, is_explained) in [
        (&[][..], 500, false),
        (&[500], 500, true),
        (&[500], 590, true),
        (&[500], 410, true),
        // The server closes all connections, whatever their idle time.
        (&[500, 500], 200, false),
        // This router stood still, or the server closes them later than before.
        (&[500, 500], 1500, false),
        (&[300, 900], 600, true),
    ] {
        let mut idle_timeout = ObservedIdleTimeout::default();
        for idle_for in closed_after {
            idle_timeout.on_closed(ms(*idle_for));
        }
        let result = idle_timeout.on_closed(ms(last));
        assert_eq!(result, is_explained, "{last} after {closed_after:?}");
    }
}

#[test]
fn an_idle_time_that_connections_survive_is_forgotten() {
    for (survived, is_explained) in [(550, true), (700, false)] {
        let mut idle_timeout = ObservedIdleTimeout::default();
        idle_timeout.on_closed(ms(500));
        idle_timeout.on_open(ms(survived));
        let result = idle_timeout.on_closed(ms(500));
        assert_eq!(result, is_explained, "open after {survived} ms");
    }
}
