//! The endpoints of the admin listener.

use std::sync::Arc;

use dropshot::{ApiDescription, ApiDescriptionRegisterError};

use super::{operators, targets};
use crate::context::Context;

/// Registers every endpoint.
pub(super) fn register(
    api: &mut ApiDescription<Arc<Context>>,
) -> Result<(), ApiDescriptionRegisterError> {
    api.register(targets::announce)?;
    api.register(targets::report)?;
    api.register(targets::drain)?;
    api.register(targets::leave)?;
    api.register(operators::status)?;
    api.register(operators::health)?;
    api.register(operators::rules)?;
    api.register(operators::history)?;
    api.register(operators::check)?;
    api.register(operators::diff)?;
    api.register(operators::change)?;
    api.register(operators::explain)?;
    api.register(operators::members)?;
    api.register(operators::drain_node)?;
    api.register(operators::lost_node)?;
    api.register(operators::metrics)?;
    Ok(())
}
