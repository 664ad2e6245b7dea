package profile

import "ibislift/core/kernel"

// Of returns the profile that a service has picked, from the replicated
// records. A service that has picked none, or one that cannot be read, has the
// default profile.
func Of(table *kernel.Table, service string) Profile {
	return lookup(service, func(key kernel.Key) ([]byte, bool) {
		record, known := table.Get(key)
		if !known {
			return nil, false
		}
		decoded, err := decode(record.Body)
		return decoded.Spec, err == nil && inForce(key, decoded.Retired)
	})
}

// InForce returns the profile that a service has picked, from a view.
func InForce(view *kernel.View, service string) Profile {
	return lookup(service, func(key kernel.Key) ([]byte, bool) {
		config, known := view.Config(key)
		return config.Spec, known && inForce(key, config.Retired)
	})
}

// inForce says whether an object counts. A retired profile goes on to serve a
// service that picked it in the same moment; a retired choice does not.
func inForce(key kernel.Key, retired bool) bool {
	return !retired || key.Kind == kernel.KindProfile
}

func lookup(service string, spec func(kernel.Key) ([]byte, bool)) Profile {
	text, known := spec(kernel.Key{Kind: kernel.KindService, Name: service})
	if !known {
		return Default()
	}
	chosen, err := ParseService(text)
	if err != nil {
		return Default()
	}
	text, known = spec(kernel.Key{Kind: kernel.KindProfile, Name: chosen.Profile})
	if !known {
		return Default()
	}
	parsed, err := Parse(text)
	if err != nil {
		return Default()
	}
	return parsed
}
