package config

import (
	"fmt"
)

func (v *validator) models() {
	seen := map[string]string{}
	for i := range v.configuration.Models {
		path := fmt.Sprintf("models[%d]", i)
		v.model(path, &v.configuration.Models[i])
		v.unique(seen, path+".name", string(v.configuration.Models[i].Name))
	}
}

func (v *validator) model(path string, model *Model) {
	v.name(path+".name", string(model.Name))
	v.name(path+".version", model.Version)
	v.number(path+".members", "models[].members", float64(model.Members))
	v.number(path+".requests", "models[].requests", float64(model.Requests))
	v.number(path+".value", "models[].value", model.Value)
	v.number(path+".load_seconds", "models[].load_seconds", float64(model.LoadSeconds))
	adapters := map[string]string{}
	for i, adapter := range model.Adapters {
		itemPath := fmt.Sprintf("%s.adapters[%d]", path, i)
		v.name(itemPath, adapter)
		v.unique(adapters, itemPath, adapter)
	}
	v.replicas(path, model)
}

func (v *validator) replicas(path string, model *Model) {
	dataCentres := map[string]string{}
	for i, replicas := range model.Replicas {
		itemPath := fmt.Sprintf("%s.replicas[%d]", path, i)
		v.dataCentre(itemPath+".data_centre", replicas.DataCentre)
		v.unique(dataCentres, itemPath+".data_centre", string(replicas.DataCentre))
		v.number(itemPath+".count", "models[].replicas[].count", float64(replicas.Count))
	}
}
