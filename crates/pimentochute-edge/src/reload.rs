//! Reloads the settings file while the daemon runs.

use std::path::{Path, PathBuf};

use pimentochute_base::MilliSpan;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::EdgeSettings;
use crate::context::EdgeContext;

/// The interval at which the file is read, since it may change without a signal.
const READ_INTERVAL: MilliSpan = MilliSpan::new(5_000);

/// Reads the settings file after SIGHUP and periodically.
pub(crate) struct SettingsReload {
    pub(crate) context: EdgeContext,
    /// The settings file; `None` if there is none to reload.
    pub(crate) path: Option<PathBuf>,
    /// Notified on SIGHUP.
    pub(crate) hangup: Notify,
}

impl SettingsReload {
    /// Reads the file and applies its changes until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let mut known = self.read();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.hangup.notified() => {
                    log::info!("reload: SIGHUP");
                }
                () = tokio::time::sleep(READ_INTERVAL.as_duration()) => {}
            }
            let text = self.read();
            if text != known {
                known = text;
                self.apply(known.as_deref());
            }
        }
    }

    fn read(&self) -> Option<Vec<u8>> {
        let path = self.path.as_deref()?;
        read_file(path)
    }

    /// Applies changed settings. Invalid ones are ignored, and changes of
    /// anything but the prescribed times take effect at the next start.
    fn apply(&self, text: Option<&[u8]>) {
        let Some(text) = text else { return };
        match EdgeSettings::read(text) {
            Ok(settings) => {
                let is_new = self.context.set_times(settings.times);
                let at_start = EdgeSettings {
                    times: self.context.settings.times,
                    ..settings
                };
                let needs_start = at_start != *self.context.settings;
                log::info!(times_changed = is_new, needs_start; "reload: the settings changed");
            }
            Err(error) => log::error!(error:%; "reload: the changed settings are invalid"),
        }
    }
}

fn read_file(path: &Path) -> Option<Vec<u8>> {
    let text = std::fs::read(path);
    let text = text.inspect_err(|error| {
        log::warn!(path:% = path.display(), error:%; "reload: cannot read the settings");
    });
    text.ok()
}
