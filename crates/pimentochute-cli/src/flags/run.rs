//! The grammar of `serve`, `edge` and `check`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

xflags::xflags! {
    /// Runs the daemon, or checks its settings.
    cmd pimentochute {
        /// Runs the daemon of an entry host until SIGTERM.
        cmd serve {
            /// The settings, a JSON file.
            required --settings file: PathBuf
        }
        /// Runs the daemon of an entry host on the users' platform until SIGTERM.
        cmd edge {
            /// The settings, a JSON file; by default the one that the
            /// environment variable PIMENTOCHUTE_CONFIG names.
            optional --settings file: PathBuf
        }
        /// Finds every fault of a settings file; exit code 2 if there is one.
        cmd check {
            /// The settings, a JSON file.
            required --settings file: PathBuf
        }
    }
}
