//! The active configuration: routes, services, workspaces, and its confirmation by the store.

mod active_configuration;
mod confirmation;
mod model;
mod path;

pub use {
    active_configuration::{ActiveConfiguration, ConfirmationState},
    confirmation::Confirmation,
    model::{
        Configuration, ConfigurationVersion, EngineCapabilities, Limits, RetrySafety, Route,
        Service, ServiceName, Target, Workspace, min_objective,
    },
    path::find_route,
};
