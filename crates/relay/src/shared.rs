//! What the traffic thread and the control thread know together.

use {
    crate::shared_tables::SharedTables,
    baobab_watch::{Freshness, StoreClock},
    std::sync::Arc,
};

/// Dates of confirmations, which come from the store and from other routers.
#[derive(Debug, Clone, Default)]
pub struct Shared {
    /// The store's clock.
    pub store_clock: Arc<StoreClock>,
    /// Age of the newest confirmation.
    pub freshness: Arc<Freshness>,
    /// Changes of tables that routers tell each other.
    pub tables: Arc<SharedTables>,
}
