"""The platform's wires: the listener for clients' frames, the engine client over RESP, the directory over DNS."""
