//! Values that one task publishes and others read.
//!
//! Readers get copies. A guard of a [`watch`] channel must not be held while another one is taken:
//! if the value is published in between, the second guard waits for the publisher, and the publisher
//! for the first guard. `clippy.toml` therefore disallows the methods that return guards, except in
//! this module.

use tokio::sync::watch;

/// A handle for reading the latest value. Clones read the same value.
#[derive(Debug, Clone)]
pub struct Value<T>(watch::Receiver<T>);

/// The value is not published any more, since its publisher is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the publisher is gone")]
pub struct Closed;

/// Creates a value and the handle that publishes it.
///
/// ```
/// let (publisher, value) = hornbeamloom_daemon::published::channel(1);
/// publisher.send_replace(2);
/// assert_eq!(value.get(), 2);
/// ```
pub fn channel<T>(initial: T) -> (watch::Sender<T>, Value<T>) {
    let (publisher, receiver) = watch::channel(initial);
    (publisher, Value(receiver))
}

/// Returns a copy of the value that was published last.
///
/// ```
/// use hornbeamloom_daemon::published;
///
/// let (publisher, _value) = published::channel("first");
/// publisher.send_replace("second");
/// assert_eq!(published::latest(&publisher), "second");
/// ```
#[expect(clippy::disallowed_methods, reason = "the guard is dropped here")]
pub fn latest<T: Clone>(publisher: &watch::Sender<T>) -> T {
    publisher.borrow().clone()
}

impl<T: Clone> Value<T> {
    /// Creates a handle for the values of a publisher.
    ///
    /// ```
    /// use hornbeamloom_daemon::published::Value;
    ///
    /// let publisher = tokio::sync::watch::Sender::new("first");
    /// assert_eq!(Value::new(&publisher).get(), "first");
    /// ```
    pub fn new(publisher: &watch::Sender<T>) -> Value<T> {
        Value(publisher.subscribe())
    }

    /// Returns a copy of the latest value.
    ///
    /// ```
    /// let (publisher, value) = hornbeamloom_daemon::published::channel(String::from("first"));
    /// let first = value.get();
    /// publisher.send_replace("second".into());
    /// assert_eq!((first.as_str(), value.get().as_str()), ("first", "second"));
    /// ```
    #[expect(clippy::disallowed_methods, reason = "the guard is dropped here")]
    pub fn get(&self) -> T {
        self.0.borrow().clone()
    }

    /// Returns a copy of the latest value, for whose successor [`Value::changed`] then waits.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let (publisher, mut value) = hornbeamloom_daemon::published::channel(1);
    /// publisher.send_replace(2);
    /// assert_eq!(value.get_and_update(), 2);
    /// publisher.send_replace(3);
    /// value.changed().await.unwrap();
    /// assert_eq!(value.get_and_update(), 3);
    /// # });
    /// ```
    #[expect(clippy::disallowed_methods, reason = "the guard is dropped here")]
    pub fn get_and_update(&mut self) -> T {
        self.0.borrow_and_update().clone()
    }

    /// Waits for a value that this handle has not seen.
    ///
    /// # Errors
    ///
    /// Returns an error if there will be none, since the publisher is gone.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let (publisher, mut value) = hornbeamloom_daemon::published::channel(1);
    /// drop(publisher);
    /// assert!(value.changed().await.is_err());
    /// # });
    /// ```
    pub async fn changed(&mut self) -> Result<(), Closed> {
        self.0.changed().await.map_err(|_| Closed)
    }

    /// Waits for a value that meets a condition; returns a copy of it.
    ///
    /// # Errors
    ///
    /// Returns an error if there will be none, since the publisher is gone.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let (publisher, mut value) = hornbeamloom_daemon::published::channel(1);
    /// publisher.send_replace(5);
    /// assert_eq!(value.wait_for(|number| *number > 3).await, Ok(5));
    /// # });
    /// ```
    #[expect(clippy::disallowed_methods, reason = "the guard is dropped here")]
    pub async fn wait_for(&mut self, condition: impl FnMut(&T) -> bool) -> Result<T, Closed> {
        self.0.wait_for(condition).await.map(|value| value.clone()).map_err(|_| Closed)
    }
}
