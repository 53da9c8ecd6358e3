"""The platform's wires: client frames, engines over RESP, the directory over DNS, and the process."""
