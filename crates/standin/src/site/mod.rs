//! Whole sites to try the fleet on: settings, declarations and addresses of a user's fleet.

mod describe;
mod layout;
mod render;

pub use {
    describe::{Site, SiteWorkspace, site},
    layout::{Layout, Options},
    render::write_site,
};
