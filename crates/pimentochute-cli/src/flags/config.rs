//! The grammar of `config`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

xflags::xflags! {
    /// The configuration and its patches.
    cmd config {
        /// The address of an entry host, HOST:PORT.
        optional --server addr: String
        /// The file that holds the key; else PIMENTOCHUTE_KEY is read.
        optional --key-file file: PathBuf
        /// Prints data as JSON.
        optional --json
        /// Shows the configuration in force or an earlier version.
        cmd show {
            /// The version; else the one in force.
            optional --version number: u64
        }
        /// Lists the remembered patches and their outcomes.
        cmd history {}
        /// Hands in a patch; exit code 5 if it is rejected.
        cmd patch {
            /// The patch, a JSON file; - reads the standard input.
            required file: PathBuf
        }
    }
}
