"""Messages, frames and refusals."""
