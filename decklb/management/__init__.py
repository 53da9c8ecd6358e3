"""What operators ask of a running process and order it to do: the control socket and its client."""
