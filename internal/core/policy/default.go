package policy

// Default returns the initial document of an empty table. It has no models and
// services; operators add those that their targets serve.
func Default() Document {
	return Document{
		Version:      1,
		ActivePreset: PresetOrdinary,
		Presets: map[string]Preset{
			PresetOrdinary:    ordinaryPreset(),
			PresetPeak:        peakPreset(),
			PresetMaintenance: maintenancePreset(),
		},
		Models:   map[string]Model{},
		Services: map[string]Service{},
		Workloads: map[string]Workload{
			"interactive": {Priority: 6, TimeoutMS: 120_000},
			"batch":       {Priority: 2, TimeoutMS: 900_000},
		},
	}
}

// ordinaryPreset favors cache hits: targets have spare capacity, so a request can
// be sent to the target whose cache holds its prefix.
func ordinaryPreset() Preset {
	return Preset{
		TargetChoice:        Affinity,
		AffinityLoadBound:   1.1,
		MaxRunsPerTarget:    32,
		QueueLimit:          512,
		AdmissionTimeoutMS:  10_000,
		MinPriority:         0,
		RetryShare:          0.10,
		DefaultOutputTokens: 1024,
	}
}

// peakPreset is for high load. It keeps favoring cache hits, which leave engines
// more time for output. It lowers the default output cap, refuses requests of the
// lowest priorities and allows fewer retries, because they add to the load.
func peakPreset() Preset {
	return Preset{
		TargetChoice:        Affinity,
		AffinityLoadBound:   1.1,
		MaxRunsPerTarget:    48,
		QueueLimit:          2048,
		AdmissionTimeoutMS:  20_000,
		MinPriority:         3,
		RetryShare:          0.05,
		DefaultOutputTokens: 512,
	}
}

// maintenancePreset is for times when some targets are out of service. It allows
// few runs per target, so that draining a target takes little time, a longer wait
// in the queue, and more retries on other targets.
func maintenancePreset() Preset {
	return Preset{
		TargetChoice:        LeastLoad,
		AffinityLoadBound:   1.0,
		MaxRunsPerTarget:    16,
		QueueLimit:          1024,
		AdmissionTimeoutMS:  30_000,
		MinPriority:         0,
		RetryShare:          0.20,
		DefaultOutputTokens: 1024,
	}
}
