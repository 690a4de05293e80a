//! The grammar of `team`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

use pimentochute_base::TeamName;

xflags::xflags! {
    /// Teams, their shares and limits.
    cmd team {
        /// The address of an entry host, HOST:PORT.
        optional --server addr: String
        /// The file that holds the key; else PIMENTOCHUTE_KEY is read.
        optional --key-file file: PathBuf
        /// Prints data as JSON.
        optional --json
        /// Who makes the change; else USER is read.
        optional --author name: String
        /// Lists the teams.
        cmd list {}
        /// Adds a team or changes the given values of a team.
        cmd set {
            /// The team.
            required team: TeamName
            /// The weight of the team when the fleet is full.
            optional --share number: u32
            /// The most tasks that run at once across the fleet.
            optional --max-tasks number: u32
            /// The most requests in flight at once across the fleet.
            optional --max-requests number: u32
        }
        /// Removes a team that no key and no queue names.
        cmd remove {
            /// The team.
            required team: TeamName
        }
    }
}
