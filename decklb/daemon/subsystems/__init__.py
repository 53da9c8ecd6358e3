"""The subsystems that sections of the settings switch on, one module each, imported only where the section is given."""
