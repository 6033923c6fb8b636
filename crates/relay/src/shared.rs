//! State shared by the traffic thread and the control thread.

use {
    crate::shared_tables::SharedTables,
    baobab_watch::{Freshness, StoreClock},
    std::sync::Arc,
};

/// Confirmations and table changes, which come from the store and from other routers.
#[derive(Debug, Clone, Default)]
pub struct Shared {
    /// Maps the store's clock to the local one.
    pub store_clock: Arc<StoreClock>,
    /// Age of the newest confirmation of the configuration.
    pub freshness: Arc<Freshness>,
    /// Table changes that routers gossip about.
    pub tables: Arc<SharedTables>,
}
