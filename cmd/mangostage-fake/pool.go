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
	// exitCrashed is the exit status with --exit-on-crash after a crash.
	exitCrashed = 3
)

// kind is the kind of system that a stand-in replaces.
type kind string

const (
	kindPlatform kind = "platform"
	kindEngine   kind = "engine"
	kindService  kind = "service"
)

// server is implemented by all stand-ins of package fake.
type server interface {
	Start(addr string) error
	URL() string
	Close()
}

// standIn is a stand-in to run and the address that it shall listen on.
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

// build returns the stand-ins selected by the arguments.
func (a *args) build() ([]standIn, error) {
	switch {
	case a.Platform != nil:
		return single(kindPlatform, a.Platform.Listen, fake.NewPlatform(a.Platform.PlatformSettings)), nil
	case a.Engine != nil:
		a.Engine.OnCrash = exitOnCrash(a.Engine.ExitOnCrash)
		return single(kindEngine, a.Engine.Listen, fake.NewEngine(a.Engine.EngineSettings)), nil
	case a.Service != nil:
		a.Service.OnCrash = exitOnCrash(a.Service.ExitOnCrash)
		return single(kindService, a.Service.Listen, fake.NewService(a.Service.ServiceSettings)), nil
	default:
		return loadPool(a.Pool.File)
	}
}

func single(k kind, listen string, s server) []standIn {
	return []standIn{{name: string(k), kind: k, listen: listen, server: s}}
}

// exitOnCrash returns a function that ends the process, or nil if not enabled.
func exitOnCrash(enabled bool) func() {
	if !enabled {
		return nil
	}
	return func() { os.Exit(exitCrashed) }
}

// pool is the description of several stand-ins, read from a file.
type pool struct {
	Platform *poolPlatform `yaml:"platform"`
	Engines  []poolEngine  `yaml:"engines"`
	Services []poolService `yaml:"services"`
}

type poolPlatform struct {
	Listen   string                `yaml:"listen"`
	Settings fake.PlatformSettings `yaml:"settings"`
}

// poolMember is the common part of the engines and services of a pool.
type poolMember struct {
	Name   string `yaml:"name"`
	Listen string `yaml:"listen"`
	// Count is the number of equal stand-ins to run. With more than one they are
	// named NAME-1, NAME-2 and so on, and listen on free ports.
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

// loadPool reads a description and returns its stand-ins.
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
	var standIns []standIn
	if p.Platform != nil {
		standIns = single(kindPlatform, addressOrAnyPort(p.Platform.Listen), fake.NewPlatform(p.Platform.Settings))
	}
	for _, e := range p.Engines {
		members, err := e.Member.expand(kindEngine, func() server { return fake.NewEngine(e.Settings) })
		if err != nil {
			return nil, err
		}
		standIns = append(standIns, members...)
	}
	for _, s := range p.Services {
		members, err := s.Member.expand(kindService, func() server { return fake.NewService(s.Settings) })
		if err != nil {
			return nil, err
		}
		standIns = append(standIns, members...)
	}
	if len(standIns) == 0 {
		return nil, errDescription.New("the description names no stand-in")
	}
	return standIns, nil
}

// expand returns the stand-ins of the member.
func (m poolMember) expand(k kind, build func() server) ([]standIn, error) {
	if m.Name == "" {
		return nil, errDescription.New("one of kind %s has no name", k)
	}
	if m.Count <= 1 {
		return []standIn{{name: m.Name, kind: k, listen: addressOrAnyPort(m.Listen), server: build()}}, nil
	}
	if m.Listen != "" {
		return nil, errDescription.New("%s: listen and count exclude each other", m.Name)
	}
	standIns := make([]standIn, m.Count)
	for i := range standIns {
		standIns[i] = standIn{name: fmt.Sprintf("%s-%d", m.Name, i+1), kind: k, listen: anyPort, server: build()}
	}
	return standIns, nil
}

func addressOrAnyPort(listen string) string {
	if listen == "" {
		return anyPort
	}
	return listen
}
