//! Groups of numeric settings with defaults and allowed ranges.
//!
//! In the names of this module, a limit is any numeric setting, also one that
//! limits nothing.

use pimentochute_base::MilliSpan;

use super::SettingsFault;

/// Describes a numeric setting: its name, default and allowed range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRow {
    /// The name of the field; values of names that end in `_ms` are in
    /// milliseconds.
    pub name: &'static str,
    /// The doc comment of the field, as shown in the reference of the settings.
    pub doc: &'static str,
    /// The value if the field is left out.
    pub default: u64,
    /// The smallest allowed value.
    pub min: u64,
    /// The largest allowed value.
    pub max: u64,
}

impl LimitRow {
    /// Returns the fault of a value outside the allowed range.
    pub(super) fn range_fault(&self, group: &str, value: u64) -> Option<SettingsFault> {
        let allowed = self.min..=self.max;
        (!allowed.contains(&value)).then(|| SettingsFault {
            path: format!("{group}.{}", self.name),
            found: value.to_string(),
            allowed: format!("{} to {}", self.min, self.max),
        })
    }
}

/// The type of a numeric setting.
pub(super) trait LimitValue: Copy {
    /// Converts a number; one that is too large becomes the maximum of the type.
    fn from_number(number: u64) -> Self;

    /// Returns the value as a number, in its own unit.
    fn to_number(self) -> u64;
}

impl LimitValue for MilliSpan {
    fn from_number(number: u64) -> Self {
        Self::new(number)
    }

    fn to_number(self) -> u64 {
        self.as_millis()
    }
}

impl LimitValue for u16 {
    fn from_number(number: u64) -> Self {
        Self::try_from(number).unwrap_or(Self::MAX)
    }

    fn to_number(self) -> u64 {
        u64::from(self)
    }
}

impl LimitValue for u32 {
    fn from_number(number: u64) -> Self {
        Self::try_from(number).unwrap_or(Self::MAX)
    }

    fn to_number(self) -> u64 {
        u64::from(self)
    }
}

/// Declares a group of numeric settings with type, default and allowed range
/// per field.
macro_rules! limit_group {
    (
        $(#[$meta:meta])*
        $name:ident {
            $($(#[doc = $doc:literal])* $field:ident: $kind:ty = $default:literal, $min:literal..=$max:literal;)*
        }
    ) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $name {
            $(
                $(#[doc = $doc])*
                pub $field: $kind,
            )*
        }

        impl $name {
            /// The fields with their defaults and allowed ranges.
            pub const LIMITS: &'static [$crate::settings::LimitRow] = &[
                $($crate::settings::LimitRow {
                    name: stringify!($field),
                    doc: concat!($($doc),*),
                    default: $default,
                    min: $min,
                    max: $max,
                },)*
            ];

            /// Returns the faults of fields outside their ranges.
            pub(super) fn range_faults(&self, group: &str) -> Vec<$crate::settings::SettingsFault> {
                let values = [$($crate::settings::limit::LimitValue::to_number(self.$field),)*];
                let rows = Self::LIMITS.iter().zip(values);
                rows.filter_map(|(row, value)| row.range_fault(group, value)).collect()
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self {
                    $($field: $crate::settings::limit::LimitValue::from_number($default),)*
                }
            }
        }
    };
}

pub(super) use limit_group;
