//! The macro for table-driven tests with named cases.

/// Declares one test function for each named case of a check.
///
/// ```
/// fn doubles(input: u32, expected: u32) {
///     assert_eq!(input * 2, expected);
/// }
///
/// hornbeamloom_kernel::cases! {
///     doubles;
///     zero_stays_zero: (0, 0);
///     two_becomes_four: (2, 4);
/// }
/// # fn main() {}
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path; $($(#[$meta:meta])* $name:ident: ($($arg:expr),* $(,)?);)+) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $check($($arg),*);
            }
        )+
    };
}
