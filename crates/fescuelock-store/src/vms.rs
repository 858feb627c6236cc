//! The platform's list of live and leaving VMs, which may be out of date.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::http_store::HttpStore;
use crate::{Error, Result};

/// URL path of the list.
const VMS_PATH: &str = "/v1/vms";

/// `VmState` is the lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// `VmRole` is the purpose of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry VM, which runs a router.
    Entry,
    /// A VM that runs an upstream.
    Upstream,
}

/// `Vm` is one entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// For an entry VM the address of its operators' API, for an upstream its service address.
    pub address: String,
    /// Purpose of the VM.
    pub role: VmRole,
    /// Lifecycle state of the VM.
    pub state: VmState,
    /// For an entry VM the address on which it accepts links from other nodes, if any.
    #[serde(default)]
    pub nodes_address: Option<String>,
}

impl Vm {
    /// Returns whether the VM runs an upstream and will be stopped soon.
    pub fn is_leaving_upstream(&self) -> bool {
        self.role == VmRole::Upstream && self.state == VmState::Leaving
    }
}

/// Reads the list of VMs.
///
/// # Errors
///
/// Returns the error of the call, or [`Error::Malformed`] if the list cannot be decoded.
pub async fn read_vms(store: &HttpStore) -> Result<Vec<Vm>> {
    decode(&store.read_path(VMS_PATH.to_owned()).await?)
}

fn decode(body: &[u8]) -> Result<Vec<Vm>> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}

/// Polls the list and calls `on_change` with each changed list. A list that cannot be decoded is not
/// passed on, even in part: what it does not tell may be there.
pub async fn poll_vms(
    store: Arc<HttpStore>,
    interval_ms: u64,
    logger: Logger,
    on_change: impl Fn(Vec<Vm>),
) {
    let mut etag = None;
    let mut is_readable = true;
    let availability = store.availability();
    loop {
        availability.wait_until_available(VMS_PATH).await;
        // The list is large in a large deployment, so an unchanged one is not transferred again.
        let read = store.read_path_if_changed(VMS_PATH.to_owned(), etag.as_deref()).await;
        // The platform's availability is logged by the watcher of the rules.
        if let Ok(Some(tagged_body)) = read {
            let vms = decode(&tagged_body.body);
            match &vms {
                Err(error) if is_readable => {
                    warn!(logger, "list of VMs cannot be read, keeping the last one"; "error" => %error);
                }
                Ok(_) if !is_readable => info!(logger, "list of VMs can be read again"),
                Ok(_) | Err(_) => {}
            }
            is_readable = vms.is_ok();
            if let Ok(vms) = vms {
                etag = tagged_body.etag;
                on_change(vms);
            }
        }
        sleep(Duration::from_millis(interval_ms)).await;
    }
}
