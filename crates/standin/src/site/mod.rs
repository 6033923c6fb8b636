//! Example sites for local trials: settings, declarations and addresses of a whole fleet.

mod describe;
mod layout;
mod render;

pub use {
    describe::{Site, SiteWorkspace, site_by_name},
    layout::{Layout, LayoutOptions},
    render::write_site,
};
