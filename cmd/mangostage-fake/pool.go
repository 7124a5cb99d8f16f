package main

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/fake"
)

var errDescription = errorx.NewNamespace("mangostage_fake").NewType("description")

const (
	anyPort = "127.0.0.1:0"
	// exitCrashed is the status of a process that a control request crashed.
	exitCrashed = 3
)

// kind tells what a stand-in stands in for.
type kind string

const (
	kindPlatform kind = "platform"
	kindEngine   kind = "engine"
	kindService  kind = "service"
)

type server interface {
	Start(addr string) error
	URL() string
	Close()
}

type standIn struct {
	name   string
	kind   kind
	listen string
	server server
}

type args struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"run the configuration service and the list of VMs"`
	Engine   *engineCmd   `arg:"subcommand:engine" help:"run a model engine"`
	Service  *serviceCmd  `arg:"subcommand:service" help:"run a plain service, encoder, retriever or reranker"`
	Pool     *poolCmd     `arg:"subcommand:pool" help:"run several in one process"`
}

// Description implements arg.Described.
func (args) Description() string { return "Stand-ins for engines, services and the platform." }

type platformCmd struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	fake.PlatformSettings
}

type engineCmd struct {
	Listen      string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	ExitOnCrash bool   `arg:"--exit-on-crash" help:"end the process in place of coming back"`
	fake.EngineSettings
}

type serviceCmd struct {
	Listen      string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	ExitOnCrash bool   `arg:"--exit-on-crash" help:"end the process in place of coming back"`
	fake.ServiceSettings
}

type poolCmd struct {
	File string `arg:"positional,required" help:"YAML or JSON description"`
}

// build makes the stand-ins that the arguments ask for.
func (a *args) build() ([]standIn, error) {
	switch {
	case a.Platform != nil:
		return one(kindPlatform, a.Platform.Listen, fake.NewPlatform(a.Platform.PlatformSettings)), nil
	case a.Engine != nil:
		a.Engine.OnCrash = exitIf(a.Engine.ExitOnCrash)
		return one(kindEngine, a.Engine.Listen, fake.NewEngine(a.Engine.EngineSettings)), nil
	case a.Service != nil:
		a.Service.OnCrash = exitIf(a.Service.ExitOnCrash)
		return one(kindService, a.Service.Listen, fake.NewService(a.Service.ServiceSettings)), nil
	default:
		return loadPool(a.Pool.File)
	}
}

func one(k kind, listen string, s server) []standIn {
	return []standIn{{name: string(k), kind: k, listen: listen, server: s}}
}

func exitIf(wanted bool) func() {
	if !wanted {
		return nil
	}
	return func() { os.Exit(exitCrashed) }
}

// pool describes several stand-ins.
type pool struct {
	Platform *poolPlatform `yaml:"platform"`
	Engines  []poolEngine  `yaml:"engines"`
	Services []poolService `yaml:"services"`
}

type poolPlatform struct {
	Listen   string                `yaml:"listen"`
	Settings fake.PlatformSettings `yaml:"settings"`
}

// poolMember is what engines and services of a pool have in common.
type poolMember struct {
	Name   string `yaml:"name"`
	Listen string `yaml:"listen"`
	// Count makes so many alike, named NAME-1 and so on, on free ports.
	Count int `yaml:"count"`
}

type poolEngine struct {
	Member   poolMember          `yaml:",inline"`
	Settings fake.EngineSettings `yaml:"settings"`
}

type poolService struct {
	Member   poolMember           `yaml:",inline"`
	Settings fake.ServiceSettings `yaml:"settings"`
}

func loadPool(file string) ([]standIn, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errDescription.Wrap(err, "read description")
	}
	var p pool
	if err := yaml.UnmarshalWithOptions(text, &p, yaml.Strict()); err != nil {
		return nil, errDescription.Wrap(err, "%s", file)
	}
	return p.build()
}

func (p *pool) build() ([]standIn, error) {
	var set []standIn
	if p.Platform != nil {
		set = one(kindPlatform, orAnyPort(p.Platform.Listen), fake.NewPlatform(p.Platform.Settings))
	}
	for _, e := range p.Engines {
		members, err := e.Member.expand(kindEngine, func() server { return fake.NewEngine(e.Settings) })
		if err != nil {
			return nil, err
		}
		set = append(set, members...)
	}
	for _, s := range p.Services {
		members, err := s.Member.expand(kindService, func() server { return fake.NewService(s.Settings) })
		if err != nil {
			return nil, err
		}
		set = append(set, members...)
	}
	if len(set) == 0 {
		return nil, errDescription.New("the description names no stand-in")
	}
	return set, nil
}

// expand makes the stand-ins of one member.
func (m poolMember) expand(k kind, build func() server) ([]standIn, error) {
	if m.Name == "" {
		return nil, errDescription.New("one of kind %s has no name", k)
	}
	if m.Count <= 1 {
		return []standIn{{name: m.Name, kind: k, listen: orAnyPort(m.Listen), server: build()}}, nil
	}
	if m.Listen != "" {
		return nil, errDescription.New("%s: listen and count exclude each other", m.Name)
	}
	set := make([]standIn, m.Count)
	for i := range set {
		set[i] = standIn{name: fmt.Sprintf("%s-%d", m.Name, i+1), kind: k, listen: anyPort, server: build()}
	}
	return set, nil
}

func orAnyPort(listen string) string {
	if listen == "" {
		return anyPort
	}
	return listen
}
